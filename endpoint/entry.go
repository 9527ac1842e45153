package endpoint

import "time"

// Entry is what the platform's discovery says of one endpoint.
type Entry struct {
	ID            string
	Service       string
	Address       string // IP and port
	DataCentre    string
	Slots         int           // requests that run at once
	Draining      bool          // the endpoint announced its end
	ColdRemaining time.Duration // how long it stays cold, counted from when the entry was written
	Born          int64         // Unix milliseconds of the start of its process, 0 where unknown
}

// sameRun says whether both entries are of one run of the endpoint's process.
func (e *Entry) sameRun(o *Entry) bool {
	return e.Born == o.Born && e.Address == o.Address && e.Service == o.Service
}

// Service is what the configuration says of the endpoints of one service.
type Service struct {
	Name          string
	HealthPath    string
	Connections   int           // connections that one endpoint accepts from all VMs
	ColdPerSecond float64       // requests that a cold endpoint tolerates in a second, 0 where it has no limit
	Engine        *Engine       // nil for a plain service
	Pause         time.Duration // shortest pause between events that a route to it accepts, 0 where none declares one
}

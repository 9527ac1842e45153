package endpoint

import "time"

// Entry is the record of one endpoint in the platform's discovery.
type Entry struct {
	ID            string
	Service       string
	Address       string // IP and port
	DataCentre    string
	Slots         int           // requests that run at once
	Draining      bool          // the endpoint announced that it is stopping
	ColdRemaining time.Duration // how long it stays cold, counted from when the entry was written
	StartedMillis int64         // start of its process in Unix milliseconds, 0 if unknown
}

// sameRun reports whether both entries describe the same run of the endpoint's process.
func (e *Entry) sameRun(o *Entry) bool {
	return e.StartedMillis == o.StartedMillis && e.Address == o.Address && e.Service == o.Service
}

// Service is the configuration of the endpoints of one service.
type Service struct {
	Name          string
	HealthPath    string
	Connections   int           // connections that one endpoint accepts from all VMs together
	ColdRateLimit float64       // requests per second that a cold endpoint tolerates, 0 for no limit
	Engine        *Engine       // nil for a plain service
	GapLimit      time.Duration // smallest token gap limit among the routes to the service, 0 if none declares one
	Prioritised   bool          // whether the routes to the service have different priorities
	UrgentTarget  time.Duration // smallest TTFT target among the routes of the most urgent priority
	MostUrgent    uint8         // priority of the most urgent routes to the service
	UrgentGap     time.Duration // smallest token gap limit among these routes, 0 if none declares one
	LeastUrgent   uint8         // priority of the least urgent route to the service
}

package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestpath/endpoint"
	"goldcrestpath/oplog"
)

// message is one datagram. Unknown fields from later versions are ignored.
type message struct {
	From     string        `cbor:"1,keyasint"`            // address of the sender
	Boot     int64         `cbor:"2,keyasint"`            // start of the sender's process in Unix nanoseconds
	Seq      uint64        `cbor:"3,keyasint"`            // sequence number of the sender's datagrams
	Loads    []load        `cbor:"4,keyasint,omitempty"`  // complete loads of the sender on the named endpoints
	Feeds    []recordBatch `cbor:"5,keyasint,omitempty"`  // new records of topics
	Peers    []string      `cbor:"6,keyasint,omitempty"`  // some of the VMs that the sender can reach, in heartbeats
	Beat     bool          `cbor:"7,keyasint,omitempty"`  // a heartbeat
	Waits    *[]wait       `cbor:"9,keyasint,omitempty"`  // all waiting prompts of the sender, nil if not included
	Suspects []suspect     `cbor:"10,keyasint,omitempty"` // engines that refused to help the sender
	Bye      bool          `cbor:"8,keyasint,omitempty"`  // the sender is stopping
}

// load is the wire form of endpoint.Load.
type load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	Works    []work
}

// work is the wire form of endpoint.Work.
type work struct {
	_       struct{} `cbor:",toarray"`
	Read    int64    // microseconds
	Age     int64    // microseconds since the request was sent
	Context int
	Writing bool
	Pause   int64 // milliseconds
}

// wait is the wire form of endpoint.Wait. The clocks of VMs may differ, so times are relative to the send.
type wait struct {
	_       struct{} `cbor:",toarray"`
	Service uint64
	Read    int64 // microseconds
	StartIn int64 // microseconds until the latest start
	Slack   int64 // microseconds from the prompt's arrival to the latest start
	ID      uint64
}

func encodeWaits(waits []endpoint.Wait, now time.Time) *[]wait {
	out := make([]wait, len(waits))
	for i, w := range waits {
		out[i] = wait{
			Service: uint64(w.Service), Read: w.Read.Microseconds(), StartIn: w.StartBy.Sub(now).Microseconds(),
			Slack: w.Slack.Microseconds(), ID: w.ID,
		}
	}
	return &out
}

func decodeWaits(waits []wait, now time.Time) []endpoint.Wait {
	out := make([]endpoint.Wait, len(waits))
	for i, w := range waits {
		out[i] = endpoint.Wait{
			Service: endpoint.Key(w.Service), Read: time.Duration(w.Read) * time.Microsecond,
			StartBy: now.Add(time.Duration(w.StartIn) * time.Microsecond),
			Slack:   time.Duration(w.Slack) * time.Microsecond, ID: w.ID,
		}
	}
	return out
}

// suspect is the wire form of endpoint.Suspect.
type suspect struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	Left     int64 // milliseconds until it ends
}

func encodeSuspects(suspects []endpoint.Suspect, now time.Time) []suspect {
	out := make([]suspect, len(suspects))
	for i, s := range suspects {
		out[i] = suspect{Endpoint: uint64(s.Endpoint), Left: s.Until.Sub(now).Milliseconds()}
	}
	return out
}

func decodeSuspects(suspects []suspect, now time.Time) []endpoint.Suspect {
	out := make([]endpoint.Suspect, len(suspects))
	for i, s := range suspects {
		out[i] = endpoint.Suspect{Endpoint: endpoint.Key(s.Endpoint), Until: now.Add(time.Duration(s.Left) * time.Millisecond)}
	}
	return out
}

// recordBatch holds the changed records of a topic from offset From up to Upto. The store confirmed Age ago that no others
// followed.
type recordBatch struct {
	_       struct{} `cbor:",toarray"`
	Topic   uint8
	From    int64
	Upto    int64
	Age     int64 // milliseconds
	Records []record
}

// record is the wire form of oplog.Record.
type record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
}

// recordsResponse is the response of a peer to a fetch of records.
type recordsResponse struct {
	Records []record `cbor:"1,keyasint"`
	Upto    int64    `cbor:"2,keyasint"`
	Age     int64    `cbor:"3,keyasint"` // milliseconds
}

func encodeLoads(loads []endpoint.Load, now time.Time) []load {
	out := make([]load, len(loads))
	for i, l := range loads {
		out[i].Endpoint = uint64(l.Endpoint)
		out[i].Works = make([]work, len(l.Works))
		for k, w := range l.Works {
			out[i].Works[k] = work{
				Read: w.Read.Microseconds(), Age: now.Sub(w.Since).Microseconds(), Context: w.Context, Writing: w.Writing,
				Pause: w.Pause.Milliseconds(),
			}
		}
	}
	return out
}

func decodeLoads(loads []load, now time.Time) []endpoint.Load {
	out := make([]endpoint.Load, len(loads))
	for i, l := range loads {
		out[i].Endpoint = endpoint.Key(l.Endpoint)
		out[i].Works = make([]endpoint.Work, len(l.Works))
		for k, w := range l.Works {
			out[i].Works[k] = endpoint.Work{
				Read: time.Duration(w.Read) * time.Microsecond, Since: now.Add(-time.Duration(w.Age) * time.Microsecond),
				Context: w.Context, Writing: w.Writing, Pause: time.Duration(w.Pause) * time.Millisecond,
			}
		}
	}
	return out
}

func encodeRecords(records []oplog.Record) []record {
	out := make([]record, len(records))
	for i, r := range records {
		out[i] = record{Key: r.Key, Value: r.Value, Offset: r.Offset}
	}
	return out
}

func decodeRecords(records []record) []oplog.Record {
	out := make([]oplog.Record, len(records))
	for i, r := range records {
		out[i] = oplog.Record{Key: r.Key, Offset: r.Offset}
		if len(r.Value) > 0 {
			out[i].Value = r.Value
		}
	}
	return out
}

// decodeMode limits what a message can make the decoder allocate.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return m
}()

package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestpath/endpoint"
	"goldcrestpath/oplog"
)

// message is one datagram. Unknown fields from later versions are ignored.
type message struct {
	From           string           `cbor:"1,keyasint"`            // address of the sender
	StartedAt      int64            `cbor:"2,keyasint"`            // start of the sender's process in Unix nanoseconds
	Seq            uint64           `cbor:"3,keyasint"`            // sequence number of the datagram among those of the sender's process
	Loads          []load           `cbor:"4,keyasint,omitempty"`  // complete loads of the sender on the named endpoints
	RecordBatches  []recordBatch    `cbor:"5,keyasint,omitempty"`  // new records of topics
	Peers          []string         `cbor:"6,keyasint,omitempty"`  // some of the VMs that the sender can reach, in heartbeats
	Heartbeat      bool             `cbor:"7,keyasint,omitempty"`  // whether this is a heartbeat
	WaitingPrompts *[]waitingPrompt `cbor:"9,keyasint,omitempty"`  // all waiting prompts of the sender, nil if not included
	Suspects       []suspect        `cbor:"10,keyasint,omitempty"` // engines that refused to help the sender
	Quarantine     *quarantine      `cbor:"11,keyasint,omitempty"` // reports of prompts under which engines ended
	Stopping       bool             `cbor:"8,keyasint,omitempty"`  // the sender is stopping
	DataCentre     string           `cbor:"12,keyasint,omitempty"` // data centre of the sender, in heartbeats and beacons
	Joined         []endpoint.Cell  `cbor:"13,keyasint,omitempty"` // cells of others that the sender takes part in, if DataCentre is set
	Leaving        []leaving        `cbor:"15,keyasint,omitempty"` // endpoints that told the sender that they are leaving
	Summaries      []summary        `cbor:"14,keyasint,omitempty"` // state of the sender's cell, in beacons
	WaitingRanks   []byte           `cbor:"17,keyasint,omitempty"` // priorities of the team and the route for each of WaitingPrompts, in its order
	Continuity     int64            `cbor:"16,keyasint,omitempty"` // milliseconds since when the store was up without an outage, in heartbeats and beacons
	Paces          *[]pace          `cbor:"19,keyasint,omitempty"` // all paces of engines that the sender reports, nil if not included
	Usage          []usage          `cbor:"18,keyasint,omitempty"` // use by the sender's largest customers, in heartbeats while capacity is scarce
	Exceeding      []int            `cbor:"20,keyasint,omitempty"` // positions in WaitingPrompts of those whose customers exceed their shares
	Lagging        []int            `cbor:"22,keyasint,omitempty"` // positions in WaitingPrompts of those whose sizes lag
	CutOff         bool             `cbor:"23,keyasint,omitempty"` // the sender reaches no endpoint, in heartbeats and beacons
	Pauses         []suspect        `cbor:"24,keyasint,omitempty"` // pauses that endpoints asked for in answers that the receiver relayed to the sender
	Placements     []placement      `cbor:"21,keyasint,omitempty"` // placements of long prompts since the sender's last message with some, sent to all VMs of the cell
}

// summary is the wire form of endpoint.Summary.
type summary struct {
	_         struct{} `cbor:",toarray"`
	Cell      endpoint.Cell
	Service   uint64
	Engines   int
	FreeSlots float64
	Wait      int64 // microseconds
}

func encodeSummaries(summaries []endpoint.Summary) []summary {
	out := make([]summary, len(summaries))
	for i, s := range summaries {
		out[i] = summary{Cell: s.Cell, Service: uint64(s.Service), Engines: s.Engines, FreeSlots: s.FreeSlots, Wait: s.Wait.Microseconds()}
	}
	return out
}

func decodeSummaries(summaries []summary) []endpoint.Summary {
	out := make([]endpoint.Summary, len(summaries))
	for i, s := range summaries {
		out[i] = endpoint.Summary{
			Cell: s.Cell, Service: endpoint.Key(s.Service), Engines: s.Engines, FreeSlots: s.FreeSlots, Wait: time.Duration(s.Wait) * time.Microsecond,
		}
	}
	return out
}

// quarantine is the wire form of endpoint.QuarantineReports.
type quarantine struct {
	_           struct{} `cbor:",toarray"`
	Suspects    []suspectPrompt
	Sound       []soundPart
	Quarantined []quarantinedPart
}

// suspectPrompt is the wire form of endpoint.SuspectPrompt.
type suspectPrompt struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Endpoint uint64
	Age      int64 // milliseconds since the engine ended
	Began    bool
	Parts    []uint64
}

// soundPart is the wire form of endpoint.SoundPart.
type soundPart struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	Age  int64 // milliseconds since the engine began to answer
}

// quarantinedPart is the wire form of endpoint.QuarantinedPart.
type quarantinedPart struct {
	_        struct{} `cbor:",toarray"`
	Part     uint64
	Revision int
	Trials   int
	Age      int64 // milliseconds since the state changed
	Released bool
	Stored   bool
	WasSound bool
}

// encodeQuarantine splits reports into parts of about bytesPerMessage.
func encodeQuarantine(r endpoint.QuarantineReports, now time.Time) []*quarantine {
	const itemBytes, partBytes = 40, 9 // upper bounds of the encoded sizes
	var out []*quarantine
	room := 0
	next := func(size int) *quarantine {
		if room < size {
			out = append(out, &quarantine{})
			room = bytesPerMessage
		}
		room -= size
		return out[len(out)-1]
	}
	for _, s := range r.Suspects {
		w := suspectPrompt{ID: s.ID, Endpoint: uint64(s.Endpoint), Age: now.Sub(s.EndedAt).Milliseconds(), Began: s.Began}
		for _, p := range s.Parts {
			w.Parts = append(w.Parts, uint64(p))
		}
		m := next(itemBytes + partBytes*len(s.Parts))
		m.Suspects = append(m.Suspects, w)
	}
	for _, s := range r.Sound {
		m := next(itemBytes)
		m.Sound = append(m.Sound, soundPart{Part: uint64(s.Part), Age: now.Sub(s.At).Milliseconds()})
	}
	for _, p := range r.Quarantined {
		m := next(itemBytes)
		m.Quarantined = append(m.Quarantined, quarantinedPart{
			Part: uint64(p.Part), Revision: p.Revision, Trials: p.Trials, Age: now.Sub(p.ChangedAt).Milliseconds(), Released: p.Released, Stored: p.Stored, WasSound: p.WasSound,
		})
	}
	return out
}

func decodeQuarantine(m *quarantine, now time.Time) endpoint.QuarantineReports {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var r endpoint.QuarantineReports
	for _, s := range m.Suspects {
		out := endpoint.SuspectPrompt{ID: s.ID, Endpoint: endpoint.Key(s.Endpoint), EndedAt: ago(s.Age), Began: s.Began}
		for _, p := range s.Parts {
			out.Parts = append(out.Parts, endpoint.PromptPart(p))
		}
		r.Suspects = append(r.Suspects, out)
	}
	for _, s := range m.Sound {
		r.Sound = append(r.Sound, endpoint.SoundPart{Part: endpoint.PromptPart(s.Part), At: ago(s.Age)})
	}
	for _, p := range m.Quarantined {
		r.Quarantined = append(r.Quarantined, endpoint.QuarantinedPart{
			Part: endpoint.PromptPart(p.Part), Revision: p.Revision, Trials: p.Trials, ChangedAt: ago(p.Age), Released: p.Released, Stored: p.Stored,
			WasSound: p.WasSound,
		})
	}
	return r
}

// load is the wire form of endpoint.Load.
type load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	Requests []work
}

// work is the wire form of endpoint.Work.
type work struct {
	_        struct{} `cbor:",toarray"`
	Prefill  int64    // microseconds
	Age      int64    // microseconds since the request was sent
	KVTokens int
	Decoding bool
	GapLimit int64 // milliseconds
}

// waitingPrompt is the wire form of endpoint.WaitingPrompt. The clocks of VMs may differ, so times are relative to the send.
type waitingPrompt struct {
	_           struct{} `cbor:",toarray"`
	Queue       uint64
	Prefill     int64 // microseconds
	StartIn     int64 // microseconds until the latest start
	StartWithin int64 // microseconds from the prompt's arrival to the latest start
	ID          uint64
}

func encodeWaitingPrompts(prompts []endpoint.WaitingPrompt, now time.Time) *[]waitingPrompt {
	out := make([]waitingPrompt, len(prompts))
	for i, w := range prompts {
		out[i] = waitingPrompt{
			Queue: uint64(w.Queue), Prefill: w.Prefill.Microseconds(), StartIn: w.StartBy.Sub(now).Microseconds(),
			StartWithin: w.StartWithin.Microseconds(), ID: w.ID,
		}
	}
	return &out
}

// encodeRanks returns the ranks of prompts in the order of the prompts, two bytes each.
func encodeRanks(prompts []endpoint.WaitingPrompt) []byte {
	out := make([]byte, 0, 2*len(prompts))
	for _, w := range prompts {
		out = append(out, w.Rank.Team, w.Rank.Route)
	}
	return out
}

// decodeRanks sets the ranks of prompts whose order is that of the ranks. Without ranks for all of them, their ranks are unknown.
func decodeRanks(prompts []endpoint.WaitingPrompt, ranks []byte) []endpoint.WaitingPrompt {
	for i := range prompts {
		prompts[i].Rank = endpoint.UnknownRank
		if len(ranks) == 2*len(prompts) {
			prompts[i].Rank = endpoint.Rank{Team: ranks[2*i], Route: ranks[2*i+1]}
		}
	}
	return prompts
}

func decodeWaitingPrompts(prompts []waitingPrompt, now time.Time) []endpoint.WaitingPrompt {
	out := make([]endpoint.WaitingPrompt, len(prompts))
	for i, w := range prompts {
		out[i] = endpoint.WaitingPrompt{
			Queue: endpoint.Key(w.Queue), Prefill: time.Duration(w.Prefill) * time.Microsecond,
			StartBy:     now.Add(time.Duration(w.StartIn) * time.Microsecond),
			StartWithin: time.Duration(w.StartWithin) * time.Microsecond, ID: w.ID,
		}
	}
	return out
}

// leaving is the wire form of endpoint.Leaving.
type leaving struct {
	_             struct{} `cbor:",toarray"`
	Endpoint      uint64
	StartedMillis int64
}

func encodeLeaving(list []endpoint.Leaving) []leaving {
	out := make([]leaving, len(list))
	for i, l := range list {
		out[i] = leaving{Endpoint: uint64(l.Endpoint), StartedMillis: l.StartedMillis}
	}
	return out
}

func decodeLeaving(list []leaving) []endpoint.Leaving {
	out := make([]endpoint.Leaving, len(list))
	for i, l := range list {
		out[i] = endpoint.Leaving{Endpoint: endpoint.Key(l.Endpoint), StartedMillis: l.StartedMillis}
	}
	return out
}

// pace is the wire form of endpoint.Pace.
type pace struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	Percent  int64 // 100 for an engine that runs as configured
	Age      int64 // milliseconds since the newest sample
}

func encodePaces(paces []endpoint.Pace, now time.Time) *[]pace {
	out := make([]pace, len(paces))
	for i, p := range paces {
		out[i] = pace{Endpoint: uint64(p.Endpoint), Percent: int64(100 * p.Pace), Age: now.Sub(p.SampledAt).Milliseconds()}
	}
	return &out
}

func decodePaces(paces []pace, now time.Time) []endpoint.Pace {
	out := make([]endpoint.Pace, len(paces))
	for i, p := range paces {
		// An age out of range would let the report precede newer ones.
		age := time.Duration(min(max(p.Age, 0), time.Hour.Milliseconds())) * time.Millisecond
		out[i] = endpoint.Pace{Endpoint: endpoint.Key(p.Endpoint), Pace: float64(p.Percent) / 100, SampledAt: now.Add(-age)}
	}
	return out
}

// suspect is the wire form of endpoint.Suspect.
type suspect struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint64
	Remaining int64 // milliseconds until the engine may be selected again
}

func encodeSuspects(suspects []endpoint.Suspect, now time.Time) []suspect {
	out := make([]suspect, len(suspects))
	for i, s := range suspects {
		out[i] = suspect{Endpoint: uint64(s.Endpoint), Remaining: s.Until.Sub(now).Milliseconds()}
	}
	return out
}

func decodeSuspects(suspects []suspect, now time.Time) []endpoint.Suspect {
	out := make([]endpoint.Suspect, len(suspects))
	for i, s := range suspects {
		out[i] = endpoint.Suspect{Endpoint: endpoint.Key(s.Endpoint), Until: now.Add(time.Duration(s.Remaining) * time.Millisecond)}
	}
	return out
}

// recordBatch holds the changed records of a topic from offset From up to offset End. The store confirmed Age ago that no further
// records followed.
type recordBatch struct {
	_       struct{} `cbor:",toarray"`
	Topic   uint8
	From    int64
	End     int64
	Age     int64 // milliseconds
	Records []record
}

// record is the wire form of oplog.TopicRecord.
type record struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Value  []byte
	Offset int64
}

// recordsResponse is the response of a peer to a fetch of records. The records are complete up to offset End, as of Age ago.
type recordsResponse struct {
	Records []record `cbor:"1,keyasint"`
	End     int64    `cbor:"2,keyasint"`
	Age     int64    `cbor:"3,keyasint"` // milliseconds
}

func encodeLoads(loads []endpoint.Load, now time.Time) []load {
	out := make([]load, len(loads))
	for i, l := range loads {
		out[i].Endpoint = uint64(l.Endpoint)
		out[i].Requests = make([]work, len(l.Requests))
		for k, w := range l.Requests {
			out[i].Requests[k] = work{
				Prefill: w.Prefill.Microseconds(), Age: now.Sub(w.SentAt).Microseconds(), KVTokens: w.KVTokens, Decoding: w.Decoding,
				GapLimit: w.GapLimit.Milliseconds(),
			}
		}
	}
	return out
}

func decodeLoads(loads []load, now time.Time) []endpoint.Load {
	out := make([]endpoint.Load, len(loads))
	for i, l := range loads {
		out[i].Endpoint = endpoint.Key(l.Endpoint)
		out[i].Requests = make([]endpoint.Work, len(l.Requests))
		for k, w := range l.Requests {
			out[i].Requests[k] = endpoint.Work{
				Prefill: time.Duration(w.Prefill) * time.Microsecond, SentAt: now.Add(-time.Duration(w.Age) * time.Microsecond),
				KVTokens: w.KVTokens, Decoding: w.Decoding, GapLimit: time.Duration(w.GapLimit) * time.Millisecond,
			}
		}
	}
	return out
}

// recordsSize returns an upper bound of the encoded size of the records.
func recordsSize(records []oplog.TopicRecord) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value) + 16
	}
	return size
}

func encodeRecords(records []oplog.TopicRecord) []record {
	out := make([]record, len(records))
	for i, r := range records {
		out[i] = record{Key: r.Key, Value: r.Value, Offset: r.Offset}
	}
	return out
}

func decodeRecords(records []record) []oplog.TopicRecord {
	out := make([]oplog.TopicRecord, len(records))
	for i, r := range records {
		out[i] = oplog.TopicRecord{Key: r.Key, Offset: r.Offset}
		if len(r.Value) > 0 {
			out[i].Value = r.Value
		}
	}
	return out
}

// decodeMode limits the memory that the decoder allocates for one message.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return m
}()

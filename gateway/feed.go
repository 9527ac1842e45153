package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
	"goldcrestpath/peer"
	"goldcrestpath/platform"
)

// Timers of the feed. A change has to take effect on every VM within two seconds after the store has acknowledged it.
const (
	// staleTimeout is how long ago a copy was last confirmed when this VM begins to read the store itself.
	staleTimeout = 1100 * time.Millisecond
	// staggerStep is the delay between the reads of consecutive VMs that notice at the same time that no VM reads
	// the store.
	staggerStep = 120 * time.Millisecond
	// settleTime is how long after its start a VM does not take itself for the reading one, because it may not have heard of the others
	// yet.
	settleTime = 1500 * time.Millisecond
	// longPollWait is how long a request of the reading VM for operators' records waits at the store for a new record.
	longPollWait = 700 * time.Millisecond
	// pollInterval is the time between requests of the reading VM for endpoints' records. These change
	// continuously, so they are polled at a fixed interval.
	pollInterval = 600 * time.Millisecond
	// retryMin and retryMax bound the time between reads after failures, which doubles with each failure. It is
	// enough that one VM succeeds, since that VM passes the records on to all others.
	retryMin = 250 * time.Millisecond
	retryMax = 2 * time.Second
	// retryMaxPerVM raises the upper bound on large deployments, so that all VMs together send about 60
	// requests per second to a store that is down.
	retryMaxPerVM = 60 * time.Millisecond
	// outageTimeout is how long a copy must not have been confirmed by any VM for the store to count as having been
	// down.
	outageTimeout = 2 * time.Second
	// lapseGrace is how long after the store's recovery entries that are missing count as lapsed rather than removed. An
	// entry lapses if its endpoint cannot renew it during the outage. Endpoints that are running renew it within two seconds of the recovery.
	lapseGrace = 2200 * time.Millisecond
	// continuityTTL is how long a peer's report that the store was up is used. Heartbeats repeat it.
	continuityTTL = time.Second
	// peerRecoveryDelay is the time since the last error of the store after which records from a peer count as the
	// end of this VM's loss of the store.
	peerRecoveryDelay = retryMax
	// fetchInterval is the minimum time between two fetches of one topic from peers.
	fetchInterval = 50 * time.Millisecond
	// fetchSamples and fetchSampleDecay are the size and the decay of the sample of fetch times, which favours the last minutes.
	fetchSamples     = 100
	fetchSampleDecay = 0.015
	// discoveryInterval is the mean time between reads of the VMs' records, which show new VMs.
	discoveryInterval = time.Minute
	// discoveryRetry is the least time between attempts to write the VM's record or to read those of others.
	discoveryRetry = time.Second
)

// recordStore has the methods of platform.Store that the feed uses.
type recordStore interface {
	ReadNewest(ctx context.Context, topic platform.Topic) ([]oplog.TopicRecord, int64, error)
	Read(ctx context.Context, topic platform.Topic, from int64, wait time.Duration) ([]oplog.TopicRecord, int64, error)
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) error
	Reconnect()
}

var _ recordStore = (*platform.Store)(nil)

// fetcher requests records from peers.
type fetcher interface {
	Fetch(ctx context.Context, peer string, topic uint8, from, upTo int64) ([]oplog.TopicRecord, int64, time.Duration, error)
}

var _ fetcher = (*peer.Fetcher)(nil)

// exchange has the methods of peer.Exchange that the feed uses.
type exchange interface {
	ReaderRank() int
	Audience() []string
	Len() int
	AddPeers(vms []peer.VM)
	SendRecords(topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord)
}

// feed keeps this VM's copies of the platform's topics up to date. Only one VM reads the store: the first of the live
// ones in the order of their addresses. It passes the records on to the others. Each message from it also confirms that
// the copies are current. If confirmations stop arriving, the next VMs start to read, one after the other.
type feed struct {
	self      peer.VM
	store     recordStore
	fetcher   fetcher
	logger    log.Interface
	topics    map[platform.Topic]*topicCopy
	startedAt time.Time
	// apply applies changed records and returns those that peers need. keepUntil is the result of lapsedUntil.
	apply func(topic platform.Topic, changed []oplog.TopicRecord, keepUntil time.Time) []oplog.TopicRecord
	// dropLapsed is called when entries that were removed with a time keepUntil turn out not to have lapsed.
	dropLapsed func()
	ctx        context.Context
	wg         sync.WaitGroup

	storeReads, storeFailures metrics.Counter
	fetchTime                 metrics.Histogram // milliseconds of fetches from peers that succeeded
	fetchFailures             metrics.Counter

	exchange exchange
	started  chan struct{} // closed by start, after exchange is set
	vmsRead  atomic.Bool   // whether the records of the VMs have been read

	mu          sync.Mutex
	storeLost   bool      // whether this VM's last request to the store failed and no peer has supplied records since; see recordPeerUpdate
	lastFailure time.Time // time of the store's last error
}

// topicCopy is this VM's copy of one topic and the state of its updates.
type topicCopy struct {
	topic        platform.Topic
	replica      *oplog.TopicReplica
	applyMu      sync.Mutex // serializes the application of records
	mu           sync.Mutex
	loaded       bool      // whether the copy has been complete at least once
	confirmedAt  time.Time // when any VM last saw that the store had nothing newer than the copy
	steadySince  time.Time // when the confirmations began that had no gap of outageTimeout
	recoveredAt  time.Time // when the first confirmation after an outage arrived
	outageSince  time.Time // last confirmation before that outage
	peerSteady   time.Time // since when the store was up without an outage, as a peer reported at peerSteadyAt
	peerSteadyAt time.Time
	lastRead     time.Time     // last read of the store
	extended     chan struct{} // closed and replaced when the copy is extended
	announcer    string        // VM that announced announcedEnd
	announcedEnd int64         // highest end of the topic that a peer announced and this VM lacked
	fetchRunning bool          // whether records are fetched from peers
	lastFetch    time.Time     // start of the last fetch
}

func newFeed(ctx context.Context, self peer.VM, store recordStore, fetcher fetcher, logger log.Interface) *feed {
	f := &feed{self: self, store: store, fetcher: fetcher, logger: logger, ctx: ctx, startedAt: time.Now(), topics: map[platform.Topic]*topicCopy{}, dropLapsed: func() {}, started: make(chan struct{})}
	f.register(metrics.NewRegistry())
	for _, t := range []platform.Topic{platform.OperatorTopic, platform.EndpointTopic} {
		f.topics[t] = &topicCopy{topic: t, replica: oplog.NewTopicReplica(), extended: make(chan struct{})}
	}
	return f
}

// register gets the feed's counters and timers from the registry.
func (f *feed) register(r metrics.Registry) {
	f.storeReads = metrics.GetOrRegisterCounter("feed.storeReads", r)
	f.storeFailures = metrics.GetOrRegisterCounter("feed.storeFailures", r)
	f.fetchTime = metrics.GetOrRegisterHistogram("feed.fetchMs", r, metrics.NewExpDecaySample(fetchSamples, fetchSampleDecay))
	f.fetchFailures = metrics.GetOrRegisterCounter("feed.fetchFailures", r)
}

// topic returns the copy of a topic as numbered in messages between VMs, or nil for a topic introduced by a later version.
func (f *feed) topic(topic uint8) *topicCopy { return f.topics[platform.Topic(topic)] }

// start starts the goroutines that read the topics and discover other VMs.
func (f *feed) start(x exchange) {
	f.exchange = x
	close(f.started)
	for _, t := range f.topics {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.run(t)
		}()
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.discoverVMs()
	}()
}

// run reads a topic from the store whenever untilRead says that this VM has to, and retries with a backoff.
func (f *feed) run(t *topicCopy) {
	failures := 0
	for f.ctx.Err() == nil {
		if wait := f.untilRead(t, time.Now()); wait > 0 {
			f.sleep(wait)
			continue
		}
		if err := f.readStore(t); err != nil {
			longest := max(retryMax, time.Duration(f.exchange.Len())*retryMaxPerVM)
			f.sleep(retryMin/2 + customer.NewBackoff(retryMin, longest, rand.Float64).Delay(failures))
			failures++
			continue
		}
		failures = 0
	}
}

func (f *feed) sleep(d time.Duration) {
	select {
	case <-f.ctx.Done():
	case <-time.After(d):
	}
}

// untilRead returns how long this VM still waits before it reads the topic from the store. The first live VM reads
// regularly. The others read only if their copies are not confirmed for staleTimeout plus a delay by their rank, which
// is bounded so that it does not grow with the number of VMs.
func (f *feed) untilRead(t *topicCopy, now time.Time) time.Duration {
	rank := f.exchange.ReaderRank()
	if now.Sub(f.startedAt) < settleTime {
		rank = max(rank, 1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.loaded:
		return 0
	case rank == 0 && t.topic == platform.OperatorTopic:
		return 0 // the read itself waits for new records at the store
	case rank == 0:
		return pollInterval - now.Sub(t.lastRead)
	}
	return staleTimeout + time.Duration(min(rank, 8))*staggerStep - now.Sub(t.confirmedAt)
}

// readStore reads the records that the copy lacks from the store, applies them and passes them on to peers.
func (f *feed) readStore(t *topicCopy) error {
	t.mu.Lock()
	loaded := t.loaded
	t.lastRead = time.Now()
	t.mu.Unlock()
	from := t.replica.End()
	if !loaded {
		return f.reload(t)
	}
	wait := time.Duration(0)
	if t.topic == platform.OperatorTopic && f.exchange.ReaderRank() == 0 {
		wait = longPollWait
	}
	records, end, err := f.store.Read(f.ctx, t.topic, from, wait)
	if errors.Is(err, platform.ErrExpired) {
		f.logger.WithField("topic", t.topic).WithField("offset", from).Info("feed: records have expired; reading the latest record of each key")
		return f.reload(t)
	}
	if f.recordStoreResult(err); err != nil {
		return err
	}
	needed := f.applyRecords(t, records, end, false)
	t.confirm(time.Now())
	if end > from {
		f.logger.WithFields(log.Fields{"topic": t.topic, "from": from, "upto": end, "read": len(records), "passedOn": len(needed)}).
			Info("feed: records read from the store")
	}
	f.exchange.SendRecords(uint8(t.topic), from, end, 0, needed)
	return nil
}

// reload replaces the copy with the latest record of each key in the store.
func (f *feed) reload(t *topicCopy) error {
	records, end, err := f.store.ReadNewest(f.ctx, t.topic)
	if f.recordStoreResult(err); err != nil {
		return err
	}
	from := t.replica.End()
	f.applyRecords(t, records, end, true)
	f.logger.WithFields(log.Fields{"topic": t.topic, "from": from, "upto": end, "read": len(records)}).Info("feed: all records read from the store")
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
	t.confirm(time.Now())
	if from > 0 {
		f.exchange.SendRecords(uint8(t.topic), end, end, 0, nil) // a message without records, after which peers fetch those that they lack
	}
	return nil
}

// applyRecords applies records to the copy and returns those that peers need. If complete is set, the records replace
// the copy. A record is left out only if it was applied here and changed nothing. One that the copy held already is
// returned, because peers count the range as complete and may lack that record.
func (f *feed) applyRecords(t *topicCopy, records []oplog.TopicRecord, end int64, complete bool) []oplog.TopicRecord {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	if end > t.replica.End() {
		defer t.notifyExtended()
	}
	var changed []oplog.TopicRecord
	if complete {
		changed = t.replica.Reset(records, end)
	} else {
		changed = t.replica.Apply(records, end)
	}
	if len(changed) == 0 {
		return records
	}
	unneeded := map[int64]bool{}
	for _, rec := range changed {
		unneeded[rec.Offset] = true
	}
	for _, rec := range f.apply(t.topic, changed, t.lapsedUntil(time.Now())) {
		delete(unneeded, rec.Offset)
	}
	return slices.DeleteFunc(slices.Clone(records), func(rec oplog.TopicRecord) bool { return unneeded[rec.Offset] })
}

// notifyExtended wakes the peers' fetches that wait for records.
func (t *topicCopy) notifyExtended() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.extended)
	t.extended = make(chan struct{})
}

// confirm records that the store had nothing newer than the copy at the given time.
func (t *topicCopy) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmedAt) {
		return
	}
	switch {
	case t.confirmedAt.IsZero():
		t.steadySince = at
	case at.Sub(t.confirmedAt) > outageTimeout:
		t.steadySince = at
		if !t.storeWasUpLocked(at) {
			t.recoveredAt, t.outageSince = at, t.confirmedAt
		}
	}
	t.confirmedAt = at
}

// storeWasUpLocked reports whether a peer has seen confirmations ever since the last one that this VM has. The store was up then, and
// this VM was paused or cut off.
func (t *topicCopy) storeWasUpLocked(now time.Time) bool {
	return now.Sub(t.peerSteadyAt) <= continuityTTL && !t.peerSteady.After(t.confirmedAt)
}

// lapsedUntil returns until when an endpoint stays in use whose entry is removed now, because the entry may only have lapsed while the
// store was down. It returns the zero time if the entry was removed for good. That this VM received no confirmations for a while is no
// sign of an outage if another VM did: then this VM was paused or cut off.
func (t *topicCopy) lapsedUntil(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.confirmedAt.IsZero():
		return time.Time{}
	case now.Sub(t.confirmedAt) > outageTimeout:
		if t.storeWasUpLocked(now) {
			return time.Time{}
		}
		return now.Add(lapseGrace)
	}
	if until := t.recoveredAt.Add(lapseGrace); now.Before(until) {
		return until
	}
	return time.Time{}
}

// Continuity implements peer.StoreWatcher.
func (f *feed) Continuity() time.Duration {
	t, now := f.topics[platform.EndpointTopic], time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() || now.Sub(t.confirmedAt) > outageTimeout {
		return 0
	}
	return now.Sub(t.steadySince)
}

// ReceiveContinuity implements peer.StoreWatcher. If the report shows that what this VM took for an outage of the store was none,
// endpoints are dropped that were kept in use because of it.
func (f *feed) ReceiveContinuity(vm string, d time.Duration) {
	t := f.topics[platform.EndpointTopic]
	if d <= 0 || !t.recordContinuity(time.Now(), d) {
		return
	}
	f.logger.WithFields(log.Fields{"vm": vm, "continuityMs": d.Milliseconds()}).Info("feed: the store was not down; this VM was paused or cut off")
	f.dropLapsed()
}

// recordContinuity records that the store was up for d without an outage. It reports whether that refutes the last outage that this VM
// assumed.
func (t *topicCopy) recordContinuity(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := now.Add(-d)
	if now.Sub(t.peerSteadyAt) > continuityTTL || since.Before(t.peerSteady) {
		t.peerSteady, t.peerSteadyAt = since, now
	}
	if !now.Before(t.recoveredAt.Add(lapseGrace)) || since.After(t.outageSince) {
		return false
	}
	t.recoveredAt = time.Time{}
	return true
}

// recordStoreResult records the result of a request to the store and logs when the store becomes unavailable or
// available again. After an error it makes the client reconnect to the store.
func (f *feed) recordStoreResult(err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReads.Inc(1)
	if err != nil {
		f.storeFailures.Inc(1)
		f.lastFailure = time.Now()
	}
	switch {
	case err != nil && !f.storeLost:
		f.storeLost = true
		f.logger.WithError(err).Warn("feed: the store is lost; serving continues with the last known state")
	case err == nil && f.storeLost:
		f.storeLost = false
		f.logger.Info("feed: the store is back")
	}
	if err != nil {
		f.store.Reconnect()
	}
}

// recordPeerUpdate logs, after this VM has lost the store, that a peer supplies current records. It does nothing while
// this VM's own requests to the store still fail, so that the log lines of loss and recovery do not alternate.
func (f *feed) recordPeerUpdate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLost && time.Since(f.lastFailure) > peerRecoveryDelay {
		f.storeLost = false
		f.logger.Info("feed: records are current again; a peer reads the store")
	}
}

// ReceiveRecords implements peer.Receiver. Records after a gap are not applied; the VM then fetches the missing ones.
func (f *feed) ReceiveRecords(peer string, topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord) bool {
	t := f.topic(topic)
	if t == nil {
		return false // a topic introduced by a later version
	}
	old := t.replica.End()
	if from > old {
		return true
	}
	f.applyRecords(t, records, end, false)
	if end > old && t.topic == platform.OperatorTopic {
		f.logger.WithFields(log.Fields{"vm": peer, "topic": t.topic, "from": from, "upto": end, "records": len(records), "ageMs": age.Milliseconds()}).
			Info("feed: records received from a peer")
	}
	if end >= t.replica.End() {
		t.mu.Lock()
		t.loaded = true
		t.mu.Unlock()
		t.confirm(time.Now().Add(-age))
		f.recordPeerUpdate()
	}
	return false
}

// loaded reports whether every copy has been complete at least once.
func (f *feed) loaded() bool {
	for _, t := range f.topics {
		t.mu.Lock()
		loaded := t.loaded
		t.mu.Unlock()
		if !loaded {
			return false
		}
	}
	return true
}

// vmRecord is the JSON form of a VM's record in the store. The key of the record is the VM's peer address.
type vmRecord struct {
	DataCentre string `json:"dataCentre"`
	StartedAt  string `json:"startedAt"`
}

// discoverVMs writes this VM's record to the store and then reads the records of the other VMs. Of two VMs, the one that reads later
// finds the record of the other, and its heartbeats make it known there, so one read suffices at the start.
func (f *feed) discoverVMs() {
	written := false
	for failures := 0; f.ctx.Err() == nil; {
		var err error
		if !written {
			if err = f.writeVMRecord(); err != nil && f.ctx.Err() == nil {
				f.logger.WithError(err).Warn("feed: this VM's record cannot be written; the write will be retried")
			}
			written = err == nil
		}
		if written {
			if err = f.readVMRecords(); err != nil && f.ctx.Err() == nil {
				f.logger.WithError(err).Warn("feed: the VMs' records cannot be read; the read will be retried")
			}
		}
		if err == nil {
			failures = 0
			f.sleep(discoveryInterval/2 + time.Duration(rand.Float64()*float64(discoveryInterval)))
			continue
		}
		longest := max(retryMax, time.Duration(f.exchange.Len())*retryMaxPerVM)
		f.sleep(discoveryRetry + customer.NewBackoff(retryMin, longest, rand.Float64).Delay(failures))
		failures++
	}
}

// writeVMRecord writes this VM's record to the store.
func (f *feed) writeVMRecord() error {
	value, err := json.Marshal(vmRecord{DataCentre: f.self.DataCentre, StartedAt: time.Now().UTC().Format(time.RFC3339Nano)})
	if err != nil {
		return err
	}
	return f.store.Append(f.ctx, platform.VMTopic, f.self.Address, value)
}

// readVMRecords adds the VMs whose records are in the store to the exchange. The data centre of a VM whose record is of another
// version is learnt from its heartbeats.
func (f *feed) readVMRecords() error {
	records, _, err := f.store.ReadNewest(f.ctx, platform.VMTopic)
	if err != nil {
		return err
	}
	var vms []peer.VM
	for _, rec := range records {
		if rec.Value == nil {
			continue
		}
		var r vmRecord
		if err := json.Unmarshal(rec.Value, &r); err != nil {
			f.logger.WithError(err).WithField("vm", rec.Key).Debug("feed: a VM's record has another format")
		}
		vms = append(vms, peer.VM{Address: rec.Key, DataCentre: r.DataCentre})
	}
	f.vmsRead.Store(true)
	f.exchange.AddPeers(vms)
	return nil
}

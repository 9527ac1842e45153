package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/customer"
	"goldcrestpath/oplog"
	"goldcrestpath/peer"
	"goldcrestpath/platform"
)

// Timers of the feed. Changes have to be in force within two seconds of the store's acknowledgement.
const (
	// staleAfter is how old the confirmation of a copy may be before this VM reads the store itself.
	staleAfter = 1100 * time.Millisecond
	// staggerBy keeps VMs apart that notice at the same time that nobody reads.
	staggerBy = 120 * time.Millisecond
	// longPoll is how long the reader's request for operators' records waits for one.
	longPoll = 700 * time.Millisecond
	// pollEvery is the time between the reader's requests for endpoints' records, which change all the time.
	pollEvery = 600 * time.Millisecond
	// retryFirst and retryLongest bound the time between reads after failures, which doubles. One VM that gets through passes
	// the records on to all others.
	retryFirst   = 250 * time.Millisecond
	retryLongest = 2 * time.Second
	// retryPerVM lengthens that on large deployments, so that all VMs together ask a store that is out about 60 times a second.
	retryPerVM = 60 * time.Millisecond
	// awayAfter is how long no VM has confirmed a copy before the store counts as having been away.
	awayAfter = 2 * time.Second
	// lapseWindow is how long after the store's return entries count as lapsed and not as removed.
	lapseWindow = 3 * time.Second
	// fedAgain is how long the store has not failed this VM before records of a peer count as the end of that loss.
	fedAgain = retryLongest
	// fetchEvery is the shortest time between fetches of one topic from peers.
	fetchEvery = 50 * time.Millisecond
	// introduceEvery is the time between looks for VMs that this one does not know.
	introduceEvery = time.Minute
)

// source is what the feed needs of the platform's store.
type source interface {
	Newest(ctx context.Context, topic platform.Topic) ([]oplog.Record, int64, error)
	Read(ctx context.Context, topic platform.Topic, from int64, wait time.Duration) ([]oplog.Record, int64, error)
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) error
	Reconnect()
}

var _ source = (*platform.Store)(nil)

// fetcher asks peers for records.
type fetcher interface {
	Fetch(ctx context.Context, peer string, topic uint8, from int64) ([]oplog.Record, int64, time.Duration, error)
}

var _ fetcher = (*peer.Fetcher)(nil)

// exchange is what the feed needs of the exchange with peers.
type exchange interface {
	Alive() []string
	Add(addresses []string)
	Send(topic uint8, from, upto int64, age time.Duration, records []oplog.Record)
}

// feed keeps the copies of the platform's topics up to date. One VM, the first of the live ones by address, reads the store
// and passes the records on. Where no confirmation arrives, the next VMs read one after the other.
type feed struct {
	self    string
	store   source
	fetcher fetcher
	logger  log.Interface
	topics  map[platform.Topic]*topicCopy
	// apply takes over changed records and returns those that peers need.
	apply func(topic platform.Topic, changed []oplog.Record, lapsed bool) []oplog.Record
	ctx   context.Context
	done  sync.WaitGroup

	mu       sync.Mutex
	exchange exchange
	lost     bool      // the store's last answer to this VM was an error, and no peer has passed on records for long enough since
	failed   time.Time // the store's last error
}

// topicCopy is the copy of one topic.
type topicCopy struct {
	topic     platform.Topic
	replica   *oplog.Replica
	applying  sync.Mutex // orders the effects of applied records
	mu        sync.Mutex
	loaded    bool
	confirmed time.Time // when the store had nothing beyond the copy, as any VM saw it
	backAt    time.Time // when a confirmation came after the store was away
	read      time.Time // last read of the store
	fetching  bool
	fetched   time.Time
}

func newFeed(ctx context.Context, self string, store source, fetcher fetcher, logger log.Interface) *feed {
	f := &feed{self: self, store: store, fetcher: fetcher, logger: logger, ctx: ctx, topics: map[platform.Topic]*topicCopy{}}
	for _, t := range []platform.Topic{platform.Operator, platform.Endpoints} {
		f.topics[t] = &topicCopy{topic: t, replica: oplog.NewReplica()}
	}
	return f
}

// start begins to read. The exchange has to be set before.
func (f *feed) start(x exchange) {
	f.exchange = x
	for _, t := range f.topics {
		f.done.Add(1)
		go func() {
			defer f.done.Done()
			f.run(t)
		}()
	}
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.introduce()
	}()
}

func (f *feed) run(t *topicCopy) {
	failures := 0
	for f.ctx.Err() == nil {
		if wait := f.untilRead(t, time.Now()); wait > 0 {
			f.sleep(wait)
			continue
		}
		if err := f.readStore(t); err != nil {
			longest := max(retryLongest, time.Duration(len(f.exchange.Alive()))*retryPerVM)
			f.sleep(retryFirst/2 + customer.NewBackoff(retryFirst, longest, rand.Float64).Delay(failures))
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

// untilRead returns how long this VM waits before it reads the topic from the store.
func (f *feed) untilRead(t *topicCopy, now time.Time) time.Duration {
	rank := slices.Index(f.exchange.Alive(), f.self)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.loaded:
		return 0
	case rank == 0 && t.topic == platform.Operator:
		return 0 // the read itself waits
	case rank == 0:
		return pollEvery - now.Sub(t.read)
	}
	return staleAfter + time.Duration(min(rank, 8))*staggerBy - now.Sub(t.confirmed)
}

// readStore reads what the copy lacks and passes it on.
func (f *feed) readStore(t *topicCopy) error {
	t.mu.Lock()
	loaded := t.loaded
	t.read = time.Now()
	t.mu.Unlock()
	from := t.replica.End()
	if !loaded {
		return f.list(t)
	}
	wait := time.Duration(0)
	if t.topic == platform.Operator && f.exchange.Alive()[0] == f.self {
		wait = longPoll
	}
	records, end, err := f.store.Read(f.ctx, t.topic, from, wait)
	if errors.Is(err, platform.ErrExpired) {
		f.logger.WithField("topic", t.topic).WithField("offset", from).Info("feed: records have expired; the newest ones are listed")
		return f.list(t)
	}
	if f.noteStore(err); err != nil {
		return err
	}
	needed := f.takeRecords(t, records, end, false)
	t.confirm(time.Now())
	f.exchange.Send(uint8(t.topic), from, end, 0, needed)
	return nil
}

// list replaces the copy by the newest record of each key.
func (f *feed) list(t *topicCopy) error {
	records, end, err := f.store.Newest(f.ctx, t.topic)
	if f.noteStore(err); err != nil {
		return err
	}
	from := t.replica.End()
	f.takeRecords(t, records, end, true)
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
	t.confirm(time.Now())
	if from > 0 {
		f.exchange.Send(uint8(t.topic), end, end, 0, nil) // peers fetch what they lack
	}
	return nil
}

// takeRecords applies records to the copy and returns those that peers need.
func (f *feed) takeRecords(t *topicCopy, records []oplog.Record, end int64, complete bool) []oplog.Record {
	t.applying.Lock()
	defer t.applying.Unlock()
	var changed []oplog.Record
	if complete {
		changed = t.replica.Reset(records, end)
	} else {
		changed = t.replica.Apply(records, end)
	}
	if len(changed) == 0 {
		return nil
	}
	return f.apply(t.topic, changed, t.lapsing(time.Now()))
}

func (t *topicCopy) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmed) {
		return
	}
	if !t.confirmed.IsZero() && at.Sub(t.confirmed) > awayAfter {
		t.backAt = at
	}
	t.confirmed = at
}

// lapsing says whether an entry that is dropped now may only have lapsed while the store was away. What this VM alone cannot
// reach does not count: the store may serve the other VMs and the endpoints.
func (t *topicCopy) lapsing(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed.IsZero() {
		return false
	}
	return now.Sub(t.confirmed) > awayAfter || now.Sub(t.backAt) < lapseWindow
}

// noteStore logs when the store is lost or regained.
func (f *feed) noteStore(err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed = time.Now()
	}
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.logger.WithError(err).Warn("feed: the store is lost; serving goes on with the present state")
	case err == nil && f.lost:
		f.lost = false
		f.logger.Info("feed: the store is back")
	}
	if err != nil {
		f.store.Reconnect()
	}
}

// noteFed logs when records are current again by a peer, after this VM lost the store. A VM that still asks the store in vain
// logs nothing, so that the two lines do not alternate.
func (f *feed) noteFed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost && time.Since(f.failed) > fedAgain {
		f.lost = false
		f.logger.Info("feed: records are current again; a peer reads the store")
	}
}

// Feed implements peer.Receiver.
func (f *feed) Feed(topic uint8, from, upto int64, age time.Duration, records []oplog.Record) bool {
	t := f.topics[platform.Topic(topic)]
	if t == nil {
		return false // a topic of a later version
	}
	if from > t.replica.End() {
		return true
	}
	f.takeRecords(t, records, upto, false)
	if upto >= t.replica.End() {
		t.mu.Lock()
		t.loaded = true
		t.mu.Unlock()
		t.confirm(time.Now().Add(-age))
		f.noteFed()
	}
	return false
}

// Behind implements peer.Receiver.
func (f *feed) Behind(topic uint8, address string) {
	t := f.topics[platform.Topic(topic)]
	t.mu.Lock()
	now := time.Now()
	if t.fetching || now.Sub(t.fetched) < fetchEvery {
		t.mu.Unlock()
		return
	}
	t.fetching, t.fetched = true, now
	t.mu.Unlock()
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.fetch(t, address)
		t.mu.Lock()
		t.fetching = false
		t.mu.Unlock()
	}()
}

func (f *feed) fetch(t *topicCopy, address string) {
	records, upto, age, err := f.fetcher.Fetch(f.ctx, address, uint8(t.topic), t.replica.End())
	if err != nil {
		f.logger.WithError(err).WithField("vm", address).Warn("feed: records cannot be fetched from a peer")
		return
	}
	f.logger.WithFields(log.Fields{"vm": address, "topic": t.topic, "records": len(records), "upto": upto}).Info("feed: records fetched from a peer")
	f.Feed(uint8(t.topic), t.replica.End(), upto, age, records)
}

// records answers peers.
func (f *feed) records(topic uint8, from int64) ([]oplog.Record, int64, time.Duration) {
	t := f.topics[platform.Topic(topic)]
	if t == nil {
		return nil, 0, 0
	}
	records, upto := t.replica.Since(from)
	t.mu.Lock()
	defer t.mu.Unlock()
	return records, upto, time.Since(t.confirmed)
}

// loaded says whether every topic has been read.
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

// introduce writes this VM's record and looks for the others, more often at first: VMs start at about the same time.
func (f *feed) introduce() {
	written := false
	for i := 0; f.ctx.Err() == nil; i++ {
		if !written {
			err := f.store.Append(f.ctx, platform.VMs, f.self, []byte(time.Now().UTC().Format(time.RFC3339Nano)))
			if written = err == nil; !written && f.ctx.Err() == nil {
				f.logger.WithError(err).Warn("feed: this VM's record cannot be written; it is tried again")
			}
		}
		records, _, err := f.store.Newest(f.ctx, platform.VMs)
		if err != nil {
			f.logger.WithError(err).Debug("feed: the VMs' records cannot be read")
		}
		var addresses []string
		for _, rec := range records {
			if rec.Value != nil {
				addresses = append(addresses, rec.Key)
			}
		}
		f.exchange.Add(addresses)
		switch {
		case i < 2 || !written:
			f.sleep(time.Second)
		case i == 2:
			f.sleep(3 * time.Second)
		default:
			f.sleep(introduceEvery)
		}
	}
}

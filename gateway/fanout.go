package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"goldcrestpath/oplog"
	"goldcrestpath/platform"
)

// fanout is the number of VMs that fetch the same records from one VM. All VMs together would share the link of the one that reads
// the store, which takes seconds for a large configuration and delays its heartbeats.
const fanout = 8

// fetchSource returns the VM from which self fetches the records that announcer has announced. The live VMs form a tree whose
// root is the announcer.
func fetchSource(alive []string, self, announcer string) string {
	root, own := slices.Index(alive, announcer), slices.Index(alive, self)
	if root < 0 || own < 0 {
		return announcer
	}
	n := len(alive)
	position := (own - root + n) % n
	if position == 0 {
		return announcer
	}
	return alive[(root+(position-1)/fanout)%n]
}

// RecordsMissing implements peer.Receiver. It fetches the missing records unless a fetch of the topic is running, which
// continues until it has them.
func (f *feed) RecordsMissing(topic uint8, address string, upTo int64) {
	t := f.topic(topic)
	t.mu.Lock()
	defer t.mu.Unlock()
	if upTo >= t.announcedEnd {
		t.announcer, t.announcedEnd = address, upTo
	}
	if t.fetchRunning {
		return
	}
	t.fetchRunning = true
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.fetchAnnounced(t)
	}()
}

// fetchAnnounced fetches records until the copy has all that were announced, or until no source has them. The next announcement
// then starts it again.
func (f *feed) fetchAnnounced(t *topicCopy) {
	// Peers can announce records while the exchange is being created.
	select {
	case <-f.started:
	case <-f.ctx.Done():
		return
	}
	for {
		t.mu.Lock()
		announcer, upTo := t.announcer, t.announcedEnd
		wait := fetchInterval - time.Since(t.lastFetch)
		if f.ctx.Err() != nil || t.replica.End() >= upTo {
			t.fetchRunning = false
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		f.sleep(wait)
		t.mu.Lock()
		t.lastFetch = time.Now()
		t.mu.Unlock()
		f.fetchUpTo(t, announcer, upTo)
		if t.replica.End() < upTo {
			t.mu.Lock()
			t.fetchRunning = false
			t.mu.Unlock()
			return
		}
	}
}

// fetchUpTo fetches the records below offset upTo from the VM's place in the tree, from the announcer if that fails, and then from
// the store.
func (f *feed) fetchUpTo(t *topicCopy, announcer string, upTo int64) {
	source := fetchSource(f.exchange.Audience(), f.self.Address, announcer)
	if f.fetch(t, source, upTo); t.replica.End() >= upTo || f.ctx.Err() != nil {
		return
	}
	if source != announcer {
		if f.fetch(t, announcer, upTo); t.replica.End() >= upTo || f.ctx.Err() != nil {
			return
		}
	}
	if err := f.readMissing(t); err != nil && f.ctx.Err() == nil {
		f.logger.WithError(err).WithFields(log.Fields{"topic": t.topic, "upto": upTo}).Warn("feed: announced records are in reach of no source")
	}
}

// fetch requests the records that the copy lacks from a peer and applies them.
func (f *feed) fetch(t *topicCopy, address string, upTo int64) {
	from, started := t.replica.End(), time.Now()
	records, end, age, err := f.fetcher.Fetch(f.ctx, address, uint8(t.topic), from, upTo)
	fields := log.Fields{"vm": address, "topic": t.topic, "from": from, "tookMs": time.Since(started).Milliseconds()}
	if err != nil {
		f.fetchFailures.Inc(1)
		f.logger.WithError(err).WithFields(fields).Warn("feed: records cannot be fetched from a peer")
		return
	}
	f.fetchTime.Update(time.Since(started).Milliseconds())
	fields["upto"], fields["records"] = end, len(records)
	f.logger.WithFields(fields).Info("feed: records fetched from a peer")
	f.ReceiveRecords(address, uint8(t.topic), from, end, age, records)
}

// readMissing reads the records that the copy lacks from the store. They are not passed on, because a peer has announced them.
func (f *feed) readMissing(t *topicCopy) error {
	records, end, err := f.store.Read(f.ctx, t.topic, t.replica.End(), 0)
	if errors.Is(err, platform.ErrExpired) {
		return f.reload(t)
	}
	if f.recordStoreResult(err); err != nil {
		return err
	}
	f.applyRecords(t, records, end, false)
	t.confirm(time.Now())
	return nil
}

// recordsSince returns the records from an offset on, the offset up to which they are complete, and the time since the
// copy was last confirmed. If the copy ends before upTo, it waits for more records until ctx ends. It serves peers' fetches.
// The result is false if the copy has never been complete, because it then says nothing about the records that it lacks.
func (f *feed) recordsSince(ctx context.Context, topic uint8, from, upTo int64) ([]oplog.TopicRecord, int64, time.Duration, bool) {
	t := f.topic(topic)
	if t == nil {
		return nil, 0, 0, false
	}
	for {
		t.mu.Lock()
		loaded, confirmedAt, extended := t.loaded, t.confirmedAt, t.extended
		t.mu.Unlock()
		records, end := t.replica.Since(from)
		if end >= upTo || ctx.Err() != nil {
			return records, end, time.Since(confirmedAt), loaded
		}
		select {
		case <-extended:
		case <-ctx.Done():
		}
	}
}

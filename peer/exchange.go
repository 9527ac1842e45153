package peer

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"goldcrestpath/endpoint"
	"goldcrestpath/oplog"
)

// Timers of the exchange.
const (
	// batchDelay is how long changes are collected for one batch of datagrams. It is short compared with the shortest prefill,
	// about 5 ms.
	batchDelay = time.Millisecond
	// heartbeatInterval is the time between heartbeats, which repeat all loads. Several fit into the time for which a reported
	// load counts.
	heartbeatInterval = 300 * time.Millisecond
	// aliveTimeout is how long a VM counts as alive after its last datagram.
	aliveTimeout = 1500 * time.Millisecond
	// removeAfter is how long a silent VM keeps its share of the limits that the VMs divide among themselves.
	removeAfter = time.Minute
	// silentInterval is the time between heartbeats to VMs that do not answer. A VM that starts during an outage of the store
	// learns of the others only from these heartbeats. Therefore the shorter newlySilentInterval applies for the first
	// newlySilentFor after the last datagram of a VM, or after its address became known.
	silentInterval      = 3 * time.Second
	newlySilentInterval = 600 * time.Millisecond
	newlySilentFor      = 20 * time.Second
)

// Limits of one datagram. Datagrams with loads or records stay below the usual MTU of 1,500 bytes.
const (
	requestsPerMessage = 40       // requests in a message with loads
	bytesPerMessage    = 1200     // size of the records in a message
	datagramBufferSize = 64 << 10 // bytes of the receive buffer; no UDP datagram is larger
	peersPerHeartbeat  = 3        // addresses of other VMs in a heartbeat
)

// Receiver handles the records that peers send.
type Receiver interface {
	// ReceiveRecords delivers the records of a topic that the peer sent. They are complete from offset from up to offset end, as of
	// age ago. It reports whether this VM lacks records before from.
	ReceiveRecords(peer string, topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord) (missing bool)
	// RecordsMissing is called after ReceiveRecords returned true, with the address of a peer that holds the records below offset upTo.
	RecordsMissing(topic uint8, peer string, upTo int64)
}

// Exchange sends and receives the datagrams of one VM.
type Exchange struct {
	self            string
	startedAt       int64
	conn            net.PacketConn
	fleet           *endpoint.Fleet
	receiver        Receiver
	logger          log.Interface
	now             func() time.Time
	onMembersChange func(rank, n int)
	quarantine      *endpoint.Quarantine // nil if no prompt is quarantined

	mu    sync.Mutex
	seq   uint64
	peers map[string]*peerState
	stop  chan struct{}
	done  sync.WaitGroup
}

// peerState is what this VM knows about a peer.
type peerState struct {
	addr          *net.UDPAddr
	startedAt     int64     // start of the peer's process, as in message
	seq           uint64    // highest sequence number received since boot
	lastReceived  time.Time // zero until the first datagram
	addedAt       time.Time
	lastHeartbeat time.Time // last heartbeat sent to the peer
	loggedAlive   bool      // state that was logged last
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithMembersFunc sets a function that is called with this VM's rank among the n known VMs after each change of their set.
func WithMembersFunc(f func(rank, n int)) Option { return func(x *Exchange) { x.onMembersChange = f } }

// WithQuarantine sets the quarantine whose reports the VMs exchange.
func WithQuarantine(q *endpoint.Quarantine) Option { return func(x *Exchange) { x.quarantine = q } }

// NewExchange starts the exchange on conn for the VM with address self.
func NewExchange(self string, conn net.PacketConn, fleet *endpoint.Fleet, receiver Receiver, logger log.Interface, opts ...Option) *Exchange {
	x := &Exchange{
		self: self, startedAt: time.Now().UnixNano(), conn: conn, fleet: fleet, receiver: receiver, logger: logger, now: time.Now,
		onMembersChange: func(int, int) {}, peers: map[string]*peerState{}, stop: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(x)
	}
	x.done.Add(2)
	go func() {
		defer x.done.Done()
		x.receive()
	}()
	go func() {
		defer x.done.Done()
		x.sendLoop()
	}()
	return x
}

// AddPeers adds the VMs at the addresses to the exchange.
func (x *Exchange) AddPeers(addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range addresses {
		x.addLocked(a)
	}
}

// addLocked returns the state of the VM at the address and adds it if it is new. It returns nil for this VM and for an invalid
// address.
func (x *Exchange) addLocked(address string) *peerState {
	if p := x.peers[address]; p != nil || address == x.self {
		return p
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		x.logger.WithError(err).WithField("address", address).Warn("peer: invalid VM address")
		return nil
	}
	p := &peerState{addr: net.UDPAddrFromAddrPort(ap), addedAt: x.now()}
	x.peers[address] = p
	x.notifyMembersLocked()
	return p
}

// notifyMembersLocked reports this VM's rank among the known VMs.
func (x *Exchange) notifyMembersLocked() {
	rank, n := 0, 1
	for address := range x.peers {
		n++
		if address < x.self {
			rank++
		}
	}
	x.onMembersChange(rank, n)
}

// Alive returns the sorted addresses of the VMs that are alive, including this VM's.
func (x *Exchange) Alive() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aliveLocked(x.now())
}

// aliveLocked returns the sorted addresses of the VMs that are alive at now, including this VM's.
func (x *Exchange) aliveLocked(now time.Time) []string {
	alive := []string{x.self}
	for address, p := range x.peers {
		if !p.lastReceived.IsZero() && now.Sub(p.lastReceived) <= aliveTimeout {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	return alive
}

// SendRecords sends records of a topic to all reachable VMs.
func (x *Exchange) SendRecords(topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord) {
	batch := recordBatch{Topic: topic, From: from, End: end, Age: age.Milliseconds(), Records: encodeRecords(records)}
	if recordsSize(records) > bytesPerMessage {
		// The records are too large for a datagram. Receivers detect that they lack the records before From and fetch them.
		batch.From, batch.Records = end, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sendLocked(message{RecordBatches: []recordBatch{batch}}, x.reachableLocked())
}

// reachableLocked returns the VMs from which a datagram arrived within aliveTimeout.
func (x *Exchange) reachableLocked() []*peerState {
	now := x.now()
	var reachable []*peerState
	for _, p := range x.peers {
		if now.Sub(p.lastReceived) <= aliveTimeout {
			reachable = append(reachable, p)
		}
	}
	return reachable
}

// sendLocked sends one message to the given VMs.
func (x *Exchange) sendLocked(m message, to []*peerState) {
	if len(to) == 0 {
		return
	}
	x.seq++
	m.From, m.StartedAt, m.Seq = x.self, x.startedAt, x.seq
	data, err := cbor.Marshal(m)
	if err != nil {
		x.logger.WithError(err).Error("peer: encoding a datagram failed")
		return
	}
	for _, p := range to {
		// A datagram that the operating system rejects counts as lost. The next heartbeat makes up for it.
		_, _ = x.conn.WriteTo(data, p.addr)
	}
}

// sendLoop sends heartbeats, and changes after batchDelay, until Close is called.
func (x *Exchange) sendLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var quarantineChanged <-chan struct{}
	if x.quarantine != nil {
		quarantineChanged = x.quarantine.Changed()
	}
	for {
		select {
		case <-x.stop:
			return
		case <-ticker.C:
			x.sendHeartbeats(x.now())
			if x.quarantine != nil {
				x.quarantine.Decide(x.now())
			}
			x.sendQuarantine(x.now(), true)
			continue
		case <-x.fleet.StateChanged():
		case <-quarantineChanged:
			x.sendQuarantine(x.now(), false)
			continue
		}
		time.Sleep(batchDelay)
		x.flush(x.now())
	}
}

// flush sends the changes since the last flush or heartbeat.
func (x *Exchange) flush(now time.Time) {
	prompts, changed := x.fleet.TakeWaitingPrompts()
	loads := x.fleet.TakeLoads()
	suspects := x.fleet.Suspects(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	to := x.reachableLocked()
	x.sendLoadsLocked(loads, now, to)
	if changed || len(suspects) > 0 {
		x.sendLocked(message{WaitingPrompts: encodeWaitingPrompts(prompts, now), Suspects: encodeSuspects(suspects, now)}, to)
	}
}

// sendQuarantine sends reports of prompts under which engines ended. Heartbeats repeat them.
func (x *Exchange) sendQuarantine(now time.Time, heartbeat bool) {
	if x.quarantine == nil {
		return
	}
	messages := encodeQuarantine(x.quarantine.TakeReports(heartbeat), now)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range messages {
		x.sendLocked(message{Quarantine: m}, x.reachableLocked())
	}
}

// sendLoadsLocked sends loads, split into messages of about requestsPerMessage requests.
func (x *Exchange) sendLoadsLocked(loads []endpoint.Load, now time.Time, to []*peerState) {
	for start := 0; start < len(loads); {
		requests, end := 0, start
		for end < len(loads) && (end == start || requests+len(loads[end].Requests) < requestsPerMessage) {
			requests += len(loads[end].Requests) + 1
			end++
		}
		x.sendLocked(message{Loads: encodeLoads(loads[start:end], now)}, to)
		start = end
	}
}

// sendHeartbeats sends a heartbeat and all loads, less often to VMs that do not answer. It also removes VMs that have been silent
// for removeAfter.
func (x *Exchange) sendHeartbeats(now time.Time) {
	changed := x.fleet.TakeLoads()
	loads := x.fleet.Loads()
	prompts, _ := x.fleet.TakeWaitingPrompts()
	for _, l := range changed {
		if len(l.Requests) == 0 {
			loads = append(loads, l)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := x.aliveLocked(now)
	var to []*peerState
	for address, p := range x.peers {
		reachable := now.Sub(p.lastReceived) <= aliveTimeout
		if p.loggedAlive != reachable {
			p.loggedAlive = reachable
			x.logger.WithFields(log.Fields{"vm": address, "alive": reachable}).Info("peer: a VM changed state")
		}
		if silent := now.Sub(later(p.lastReceived, p.addedAt)); silent > removeAfter {
			delete(x.peers, address)
			x.notifyMembersLocked()
			continue
		}
		interval := silentInterval
		if now.Sub(later(p.lastReceived, p.addedAt)) < newlySilentFor {
			interval = newlySilentInterval
		}
		if reachable || now.Sub(p.lastHeartbeat) >= interval {
			p.lastHeartbeat = now
			to = append(to, p)
		}
	}
	x.sendLocked(message{Heartbeat: true, Peers: samplePeers(alive), WaitingPrompts: encodeWaitingPrompts(prompts, now)}, to)
	x.sendLoadsLocked(loads, now, to)
}

// samplePeers returns a random sample of the live VMs. A complete list in every heartbeat would make the traffic of n VMs grow
// with the cube of n.
func samplePeers(alive []string) []string {
	sample := slices.Clone(alive)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(len(sample), peersPerHeartbeat)]
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// receive applies incoming datagrams until Close is called.
func (x *Exchange) receive() {
	buf := make([]byte, datagramBufferSize)
	for {
		n, _, err := x.conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-x.stop:
				return
			default:
			}
			x.logger.WithError(err).Warn("peer: receiving a datagram failed")
			time.Sleep(batchDelay)
			continue
		}
		var m message
		if err := decodeMode.Unmarshal(buf[:n], &m); err != nil {
			x.logger.WithError(err).Warn("peer: decoding a datagram failed")
			continue
		}
		x.apply(&m)
	}
}

// apply applies one datagram. It ignores the loads and waiting prompts of a datagram that arrives after a later one. It
// answers the heartbeat of a VM that was not reachable before, so that the VM learns at once that this one is alive.
func (x *Exchange) apply(m *message) {
	now := x.now()
	x.mu.Lock()
	p := x.addLocked(m.From)
	if p == nil {
		x.mu.Unlock()
		return
	}
	if m.Stopping {
		p.lastReceived = time.Time{} // the VM no longer counts as alive
		x.mu.Unlock()
		return
	}
	stale := m.StartedAt < p.startedAt || m.StartedAt == p.startedAt && m.Seq < p.seq
	if !stale {
		p.startedAt, p.seq = m.StartedAt, m.Seq
	}
	newlyReachable := now.Sub(p.lastReceived) > aliveTimeout
	p.lastReceived = now
	for _, address := range m.Peers {
		x.addLocked(address)
	}
	if newlyReachable && m.Heartbeat {
		x.sendLocked(message{Heartbeat: true, Peers: samplePeers(x.aliveLocked(now))}, []*peerState{p})
	}
	x.mu.Unlock()
	if len(m.Loads) > 0 && !stale {
		x.fleet.MergeLoads(now, m.From, decodeLoads(m.Loads, now))
	}
	if len(m.Suspects) > 0 {
		x.fleet.MergeSuspects(decodeSuspects(m.Suspects, now))
	}
	if m.WaitingPrompts != nil && !stale {
		x.fleet.MergeWaitingPrompts(now, m.From, decodeWaitingPrompts(*m.WaitingPrompts, now))
	}
	if m.Quarantine != nil && x.quarantine != nil {
		x.quarantine.Merge(decodeQuarantine(m.Quarantine, now))
	}
	for _, batch := range m.RecordBatches {
		if x.receiver.ReceiveRecords(m.From, batch.Topic, batch.From, batch.End, time.Duration(batch.Age)*time.Millisecond, decodeRecords(batch.Records)) {
			x.receiver.RecordsMissing(batch.Topic, m.From, batch.End)
		}
	}
}

// Close announces to the other VMs that this one stops, and ends the exchange.
func (x *Exchange) Close() error {
	x.mu.Lock()
	x.sendLocked(message{Stopping: true}, x.reachableLocked())
	x.mu.Unlock()
	close(x.stop)
	err := x.conn.Close()
	x.done.Wait()
	return err
}

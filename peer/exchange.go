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
	// gatherFor is how long changes are gathered into one datagram. It is short against the shortest read, about 5 ms.
	gatherFor = time.Millisecond
	// beatEvery is the time between heartbeats, which repeat all loads. Several fit into the life of a reported load.
	beatEvery = 300 * time.Millisecond
	// aliveFor is how long a VM counts as alive after its last datagram.
	aliveFor = 1500 * time.Millisecond
	// forgetAfter is how long a silent VM keeps its part of what the VMs divide among them.
	forgetAfter = time.Minute
	// silentEvery is the time between heartbeats to VMs that do not answer. A VM that starts while the store is out learns of
	// the others by them only, so it is shorter for those that were heard a short time ago.
	silentEvery  = 3 * time.Second
	missingEvery = 600 * time.Millisecond
	missingFor   = 20 * time.Second
)

// Limits of one datagram, below the usual 1,500 bytes of a packet.
const (
	worksPerMessage = 40
	bytesPerMessage = 1200
	datagramBuffer  = 64 << 10
	introduced      = 3 // addresses of other VMs in a heartbeat
)

// Receiver takes over the records that peers pass on.
type Receiver interface {
	// Feed takes over records of a topic that are complete from one offset up to another, as of age ago. It reports
	// whether the own copy lacks earlier ones.
	Feed(topic uint8, from, upto int64, age time.Duration, records []oplog.Record) (behind bool)
	// Behind is called with the address of a peer that holds the missing records.
	Behind(topic uint8, peer string)
}

// Exchange sends and receives the datagrams of one VM.
type Exchange struct {
	self     string
	boot     int64
	conn     net.PacketConn
	fleet    *endpoint.Fleet
	receiver Receiver
	logger   log.Interface
	now      func() time.Time
	members  func(rank, n int)

	mu    sync.Mutex
	seq   uint64
	peers map[string]*peerState
	stop  chan struct{}
	done  sync.WaitGroup
}

type peerState struct {
	addr   *net.UDPAddr
	boot   int64
	seq    uint64
	heard  time.Time // zero until the first datagram
	added  time.Time
	beaten time.Time // last heartbeat to it
	alive  bool      // as last logged
}

// Option changes an Exchange.
type Option func(*Exchange)

// WithMembers sets a function that learns this VM's rank among the n known VMs after each change.
func WithMembers(f func(rank, n int)) Option { return func(x *Exchange) { x.members = f } }

// New starts the exchange of the VM with the given address on conn.
func New(self string, conn net.PacketConn, fleet *endpoint.Fleet, receiver Receiver, logger log.Interface, opts ...Option) *Exchange {
	x := &Exchange{
		self: self, boot: time.Now().UnixNano(), conn: conn, fleet: fleet, receiver: receiver, logger: logger, now: time.Now,
		members: func(int, int) {}, peers: map[string]*peerState{}, stop: make(chan struct{}),
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

// Add names VMs to exchange with.
func (x *Exchange) Add(addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range addresses {
		x.addLocked(a)
	}
}

func (x *Exchange) addLocked(address string) *peerState {
	if p := x.peers[address]; p != nil || address == x.self {
		return p
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		x.logger.WithError(err).WithField("address", address).Warn("peer: the address of a VM cannot be read")
		return nil
	}
	p := &peerState{addr: net.UDPAddrFromAddrPort(ap), added: x.now()}
	x.peers[address] = p
	x.membersLocked()
	return p
}

// membersLocked tells this VM's rank among the known VMs.
func (x *Exchange) membersLocked() {
	rank, n := 0, 1
	for address := range x.peers {
		n++
		if address < x.self {
			rank++
		}
	}
	x.members(rank, n)
}

// Alive returns the addresses of the VMs that are heard, and this VM's, in order.
func (x *Exchange) Alive() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aliveLocked(x.now())
}

func (x *Exchange) aliveLocked(now time.Time) []string {
	alive := []string{x.self}
	for address, p := range x.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) <= aliveFor {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	return alive
}

// Send passes records on to all VMs that are heard.
func (x *Exchange) Send(topic uint8, from, upto int64, age time.Duration, records []oplog.Record) {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value) + 16
	}
	f := feed{Topic: topic, From: from, Upto: upto, Age: age.Milliseconds(), Records: encodeRecords(records)}
	if size > bytesPerMessage {
		// Receivers see that they lack what lies below From and fetch it.
		f.From, f.Records = upto, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sendLocked(message{Feeds: []feed{f}}, x.heardLocked())
}

func (x *Exchange) heardLocked() []*peerState {
	now := x.now()
	var heard []*peerState
	for _, p := range x.peers {
		if now.Sub(p.heard) <= aliveFor {
			heard = append(heard, p)
		}
	}
	return heard
}

func (x *Exchange) sendLocked(m message, to []*peerState) {
	if len(to) == 0 {
		return
	}
	x.seq++
	m.From, m.Boot, m.Seq = x.self, x.boot, x.seq
	data, err := cbor.Marshal(m)
	if err != nil {
		x.logger.WithError(err).Error("peer: a datagram cannot be encoded")
		return
	}
	for _, p := range to {
		// A datagram that the system does not take is like a lost one: the next heartbeat repairs it.
		_, _ = x.conn.WriteTo(data, p.addr)
	}
}

func (x *Exchange) sendLoop() {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		select {
		case <-x.stop:
			return
		case <-beat.C:
			x.beat(x.now())
			continue
		case <-x.fleet.Dirty():
		}
		time.Sleep(gatherFor)
		x.flush(x.now())
	}
}

// flush sends what changed.
func (x *Exchange) flush(now time.Time) {
	waits, changed := x.fleet.TakeWaits()
	loads := x.fleet.TakeLoads()
	suspects := x.fleet.Suspects(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	to := x.heardLocked()
	x.sendLoadsLocked(loads, now, to)
	if changed || len(suspects) > 0 {
		x.sendLocked(message{Waits: encodeWaits(waits, now), Suspects: encodeSuspects(suspects, now)}, to)
	}
}

func (x *Exchange) sendLoadsLocked(loads []endpoint.Load, now time.Time, to []*peerState) {
	for start := 0; start < len(loads); {
		works, end := 0, start
		for end < len(loads) && (end == start || works+len(loads[end].Works) < worksPerMessage) {
			works += len(loads[end].Works) + 1
			end++
		}
		x.sendLocked(message{Loads: encodeLoads(loads[start:end], now)}, to)
		start = end
	}
}

// beat sends a heartbeat with all loads, less often to VMs that do not answer.
func (x *Exchange) beat(now time.Time) {
	changed := x.fleet.TakeLoads()
	loads := x.fleet.Loads()
	waits, _ := x.fleet.TakeWaits()
	for _, l := range changed {
		if len(l.Works) == 0 {
			loads = append(loads, l)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	alive := x.aliveLocked(now)
	var to []*peerState
	for address, p := range x.peers {
		heard := now.Sub(p.heard) <= aliveFor
		if p.alive != heard {
			p.alive = heard
			x.logger.WithFields(log.Fields{"vm": address, "alive": heard}).Info("peer: a VM changed state")
		}
		if silent := now.Sub(later(p.heard, p.added)); silent > forgetAfter {
			delete(x.peers, address)
			x.membersLocked()
			continue
		}
		every := silentEvery
		if now.Sub(later(p.heard, p.added)) < missingFor {
			every = missingEvery
		}
		if heard || now.Sub(p.beaten) >= every {
			p.beaten = now
			to = append(to, p)
		}
	}
	x.sendLocked(message{Beat: true, Peers: introductions(alive), Waits: encodeWaits(waits, now)}, to)
	x.sendLoadsLocked(loads, now, to)
}

// introductions returns some of the live VMs, others each time. A complete list in every heartbeat would grow the traffic of
// n VMs with the cube of n.
func introductions(alive []string) []string {
	some := slices.Clone(alive)
	rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(len(some), introduced)]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (x *Exchange) receive() {
	buf := make([]byte, datagramBuffer)
	for {
		n, _, err := x.conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-x.stop:
				return
			default:
			}
			x.logger.WithError(err).Warn("peer: a datagram cannot be received")
			time.Sleep(gatherFor)
			continue
		}
		var m message
		if err := decodeMode.Unmarshal(buf[:n], &m); err != nil {
			x.logger.WithError(err).Warn("peer: a datagram cannot be read")
			continue
		}
		x.take(&m)
	}
}

// take applies one datagram.
func (x *Exchange) take(m *message) {
	now := x.now()
	x.mu.Lock()
	p := x.addLocked(m.From)
	if p == nil {
		x.mu.Unlock()
		return
	}
	if m.Bye {
		p.heard = time.Time{}
		x.mu.Unlock()
		return
	}
	stale := m.Boot < p.boot || m.Boot == p.boot && m.Seq < p.seq
	if !stale {
		p.boot, p.seq = m.Boot, m.Seq
	}
	fresh := now.Sub(p.heard) > aliveFor
	p.heard = now
	for _, address := range m.Peers {
		x.addLocked(address)
	}
	if fresh && m.Beat {
		x.sendLocked(message{Beat: true, Peers: introductions(x.aliveLocked(now))}, []*peerState{p})
	}
	x.mu.Unlock()
	if len(m.Loads) > 0 && !stale {
		x.fleet.MergeLoads(now, m.From, decodeLoads(m.Loads, now))
	}
	if len(m.Suspects) > 0 {
		x.fleet.MergeSuspects(decodeSuspects(m.Suspects, now))
	}
	if m.Waits != nil && !stale {
		x.fleet.MergeWaits(now, m.From, decodeWaits(*m.Waits, now))
	}
	for _, f := range m.Feeds {
		if x.receiver.Feed(f.Topic, f.From, f.Upto, time.Duration(f.Age)*time.Millisecond, decodeRecords(f.Records)) {
			x.receiver.Behind(f.Topic, m.From)
		}
	}
}

// Close tells the other VMs that this one stops, and ends the exchange.
func (x *Exchange) Close() error {
	x.mu.Lock()
	x.sendLocked(message{Bye: true}, x.heardLocked())
	x.mu.Unlock()
	close(x.stop)
	err := x.conn.Close()
	x.done.Wait()
	return err
}

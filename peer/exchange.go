package peer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime/debug"
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

// Division into cells.
const (
	// maxUndivided is the largest number of VMs that exchange the loads of all endpoints. A larger deployment is divided into cells, and
	// a divided one becomes undivided below minDivided VMs.
	maxUndivided = 96
	minDivided   = 72
	// beaconsPerInterval is how many VMs of other cells get a beacon in each heartbeatInterval. They are chosen at random, so a VM
	// receives as many on average, whatever the size of the deployment.
	beaconsPerInterval = 2
	// removeOtherAfter replaces removeAfter for VMs of other cells, which are heard of rarely.
	removeOtherAfter = 15 * time.Minute
)

// VM is the record of a VM in the platform's store.
type VM struct {
	Address    string // IP and port of its exchange
	DataCentre string // "" if unknown
}

// Members is a VM's view of the VMs of the deployment.
type Members struct {
	Rank     int // position among the VMs of its cell
	InCell   int // VMs of its cell
	Position int // position among all VMs
	Total    int // all VMs
}

// Receiver handles the records that peers send.
type Receiver interface {
	// ReceiveRecords delivers the records of a topic that the peer sent. They are complete from offset from up to offset end, as of
	// age ago. It reports whether this VM lacks records before from.
	ReceiveRecords(peer string, topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord) (missing bool)
	// RecordsMissing is called after ReceiveRecords returned true, with the address of a peer that holds the records below offset upTo.
	RecordsMissing(topic uint8, peer string, upTo int64)
}

// StoreWatcher knows of outages of the platform's store.
type StoreWatcher interface {
	// Continuity returns for how long this VM knows the store to have been up without an outage, 0 if it is not up.
	Continuity() time.Duration
	// ReceiveContinuity delivers the continuity of a peer.
	ReceiveContinuity(vm string, d time.Duration)
}

// noStoreWatcher is a StoreWatcher that knows nothing.
type noStoreWatcher struct{}

func (noStoreWatcher) Continuity() time.Duration               { return 0 }
func (noStoreWatcher) ReceiveContinuity(string, time.Duration) {}

// Exchange sends and receives the datagrams of one VM.
type Exchange struct {
	self            string
	dataCentre      string
	startedAt       int64
	conn            net.PacketConn
	fleet           *endpoint.Fleet
	receiver        Receiver
	logger          log.Interface
	now             func() time.Time
	onMembersChange func(Members)
	quarantine      *endpoint.Quarantine // nil if no prompt is quarantined
	store           StoreWatcher
	shares          *endpoint.Shares // nil if customers have no fair shares

	mu       sync.Mutex
	seq      uint64
	peers    map[string]*peerState
	divided  bool
	home     endpoint.Cell   // cell of this VM
	joined   []endpoint.Cell // other cells that it takes part in
	members  Members
	changed  bool   // the set of VMs or their data centres changed since members was derived
	division uint64 // revision of the fleet's division from which members was derived
	round    int    // number of the current heartbeat
	stop     chan struct{}
	done     sync.WaitGroup
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
	dataCentre    string    // "" until known
	home          endpoint.Cell
	joined        []endpoint.Cell // other cells that it takes part in
	cutOff        bool            // it reaches no endpoint, by its last heartbeat or beacon
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithMembersFunc sets a function that is called with this VM's view of the known VMs after each call of AddPeers and after each
// change of their set.
func WithMembersFunc(f func(Members)) Option { return func(x *Exchange) { x.onMembersChange = f } }

// WithDataCentre sets the data centre of this VM.
func WithDataCentre(name string) Option { return func(x *Exchange) { x.dataCentre = name } }

// WithQuarantine sets the quarantine whose reports the VMs exchange.
func WithQuarantine(q *endpoint.Quarantine) Option { return func(x *Exchange) { x.quarantine = q } }

// WithStoreWatcher sets the StoreWatcher whose knowledge the VMs exchange.
func WithStoreWatcher(w StoreWatcher) Option { return func(x *Exchange) { x.store = w } }

// NewExchange starts the exchange on conn for the VM with address self.
func NewExchange(self string, conn net.PacketConn, fleet *endpoint.Fleet, receiver Receiver, logger log.Interface, opts ...Option) *Exchange {
	x := &Exchange{
		self: self, startedAt: time.Now().UnixNano(), conn: conn, fleet: fleet, receiver: receiver, logger: logger, now: time.Now, store: noStoreWatcher{},
		onMembersChange: func(Members) {}, peers: map[string]*peerState{}, stop: make(chan struct{}),
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

// AddPeers adds the VMs to the exchange.
func (x *Exchange) AddPeers(vms []VM) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, vm := range vms {
		if p := x.addLocked(vm.Address); p != nil && p.dataCentre == "" {
			p.dataCentre = vm.DataCentre
			x.changed = true
		}
	}
	x.updateMembersLocked()
	x.onMembersChange(x.members)
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
	x.changed = true
	return p
}

// updateMembersLocked derives the cells of the VMs after a change and reports this VM's view if it changed.
func (x *Exchange) updateMembersLocked() {
	if !x.changed && x.division == x.fleet.DivisionRevision() {
		return
	}
	x.changed = false
	total := len(x.peers) + 1
	x.divided = total > maxUndivided || x.divided && total >= minDivided
	x.fleet.SetDivided(x.divided)
	x.division = x.fleet.DivisionRevision()
	x.home, x.joined = x.fleet.Cells(x.now())
	members := Members{InCell: 1, Total: total}
	for address, p := range x.peers {
		p.home = endpoint.Undivided
		if x.divided {
			p.home = endpoint.CellOf(p.dataCentre, x.fleet.Parts(p.dataCentre), endpoint.KeyOf(address))
		}
		before := address < x.self
		if before {
			members.Position++
		}
		// A VM whose data centre is not known yet may belong to the cell.
		if p.home != x.home && p.dataCentre != "" {
			continue
		}
		members.InCell++
		if before {
			members.Rank++
		}
	}
	if members != x.members {
		x.members = members
		x.onMembersChange(members)
	}
}

// sharesCellLocked reports whether the VM and this one take part in a common cell.
func (x *Exchange) sharesCellLocked(p *peerState) bool {
	if p.home == x.home || slices.Contains(x.joined, p.home) || slices.Contains(p.joined, x.home) {
		return true
	}
	return slices.ContainsFunc(p.joined, func(c endpoint.Cell) bool { return slices.Contains(x.joined, c) })
}

// aliveTimeoutLocked returns how long a VM counts as alive after its last datagram. Heartbeats are less frequent in large cells.
func (x *Exchange) aliveTimeoutLocked() time.Duration {
	return aliveTimeout * time.Duration(endpoint.ReportRounds(x.members.InCell))
}

// isAliveLocked reports whether a datagram of the VM has arrived recently.
func (x *Exchange) isAliveLocked(p *peerState, now time.Time) bool {
	return !p.lastReceived.IsZero() && now.Sub(p.lastReceived) <= x.aliveTimeoutLocked()
}

// Alive returns the sorted addresses of the VMs of this VM's cell that are alive, including its own.
func (x *Exchange) Alive() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aliveLocked(x.now())
}

// aliveLocked returns the sorted addresses of the VMs of this VM's cell that are alive at now, including its own.
func (x *Exchange) aliveLocked(now time.Time) []string {
	alive := []string{x.self}
	for address, p := range x.peers {
		if p.home == x.home && x.isAliveLocked(p, now) {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	return alive
}

// Reach returns how many live VMs of this VM's cell reach endpoints and how many are cut off from all of them, by their last heartbeats.
func (x *Exchange) Reach() (reaching, cutOff int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	for _, p := range x.peers {
		switch {
		case p.home != x.home || !x.isAliveLocked(p, now):
		case p.cutOff:
			cutOff++
		default:
			reaching++
		}
	}
	return reaching, cutOff
}

// Len returns the number of known VMs of the deployment, including this one.
func (x *Exchange) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) + 1
}

// ReaderRank returns this VM's position among those that may read the store for others. The VM at position 0 reads it for the
// deployment or, in a divided one, for its data centre.
func (x *Exchange) ReaderRank() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := slices.Index(x.aliveLocked(x.now()), x.self)
	if x.divided && x.home != endpoint.CellOf(x.dataCentre, x.fleet.Parts(x.dataCentre), 0) {
		rank++ // a VM of the data centre's first cell reads
	}
	return rank
}

// Audience returns the sorted addresses of the VMs to which this VM sends records, and its own: the live ones of the deployment or,
// in a divided one, those of its data centre. VMs of other cells count as alive.
func (x *Exchange) Audience() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	audience := []string{x.self}
	for address, p := range x.peers {
		if x.inAudienceLocked(p, now) {
			audience = append(audience, address)
		}
	}
	slices.Sort(audience)
	return audience
}

// inAudienceLocked reports whether this VM sends records to the VM.
func (x *Exchange) inAudienceLocked(p *peerState, now time.Time) bool {
	if x.divided && p.dataCentre != x.dataCentre {
		return false
	}
	return p.home != x.home || x.isAliveLocked(p, now)
}

// SendRecords sends records of a topic to the VMs of Audience.
func (x *Exchange) SendRecords(topic uint8, from, end int64, age time.Duration, records []oplog.TopicRecord) {
	batch := recordBatch{Topic: topic, From: from, End: end, Age: age.Milliseconds(), Records: encodeRecords(records)}
	if recordsSize(records) > bytesPerMessage {
		// The records are too large for a datagram. Receivers detect that they lack the records before From and fetch them.
		batch.From, batch.Records = end, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	var to []*peerState
	for _, p := range x.peers {
		if x.inAudienceLocked(p, now) {
			to = append(to, p)
		}
	}
	x.sendLocked(message{RecordBatches: []recordBatch{batch}}, to)
}

// reachableLocked returns the live VMs that take part in a common cell.
func (x *Exchange) reachableLocked() []*peerState {
	now := x.now()
	var reachable []*peerState
	for _, p := range x.peers {
		if x.sharesCellLocked(p) && x.isAliveLocked(p, now) {
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
	leaving := x.fleet.Leaving(now)
	paces := x.changedPaces(now)
	home, joined := x.fleet.Cells(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	if home != x.home || !slices.Equal(joined, x.joined) {
		x.joinLocked(home, joined, now)
	}
	to := x.reachableLocked()
	m := message{Paces: x.sendPacesLocked(paces, to)}
	if changed || len(suspects)+len(leaving) > 0 {
		m.Exceeding, m.Lagging = positionsOf(prompts, exceeds), positionsOf(prompts, lags)
		m.WaitingPrompts, m.Suspects, m.Leaving = encodeWaitingPrompts(prompts, now), encodeSuspects(suspects, now), encodeLeaving(leaving)
		m.WaitingRanks = encodeRanks(prompts)
	}
	m.Placements = encodePlacements(x.fleet.TakePlacements())
	if len(loads) > 0 || m.WaitingPrompts != nil || m.Paces != nil || m.Placements != nil {
		x.sendLoadsLocked(m, loads, now, to)
	}
}

// paces returns the paces of engines that this VM reports, or nil if it learns none.
func (x *Exchange) paces(now time.Time) *[]pace {
	if !x.fleet.LearnsPaces() {
		return nil
	}
	return encodePaces(x.fleet.Paces(now), now)
}

// pacesPerMessage is the number of paces that are added to a message with other parts.
const pacesPerMessage = 8

// sendPacesLocked sends paces that are too many for a message with other parts, and returns those to be added to one.
func (x *Exchange) sendPacesLocked(paces *[]pace, to []*peerState) *[]pace {
	if paces == nil || len(*paces) <= pacesPerMessage {
		return paces
	}
	x.sendLocked(message{Paces: paces}, to)
	return nil
}

// changedPaces returns the paces if peers should learn of a change at once, and nil otherwise.
func (x *Exchange) changedPaces(now time.Time) *[]pace {
	if !x.fleet.TakePacesChanged() {
		return nil
	}
	return x.paces(now)
}

// joinLocked records a change of the cells that this VM takes part in, and sends a heartbeat to the VMs of those that it joined or left.
// Those of a cell that it joined answer with their loads.
func (x *Exchange) joinLocked(home endpoint.Cell, joined []endpoint.Cell, now time.Time) {
	old := x.joined
	x.home, x.joined = home, joined
	var to []*peerState
	for _, p := range x.peers {
		if slices.Contains(joined, p.home) != slices.Contains(old, p.home) {
			to = append(to, p)
		}
	}
	x.logger.WithFields(log.Fields{"cell": home, "joined": joined, "vms": len(to)}).Info("peer: the cells that this VM takes part in changed")
	x.sendLocked(x.heartbeatLocked(now), to)
}

// heartbeatLocked returns a heartbeat without waiting prompts.
func (x *Exchange) heartbeatLocked(now time.Time) message {
	return message{
		Heartbeat: true, Peers: samplePeers(x.aliveLocked(now)), DataCentre: x.dataCentre, Joined: x.joined, Continuity: x.store.Continuity().Milliseconds(),
		CutOff: x.fleet.CutOff(),
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
	to := x.reachableLocked()
	if !heartbeat {
		// Engines rarely end, so new reports go to the VMs of all cells.
		for _, p := range x.peers {
			if !x.sharesCellLocked(p) {
				to = append(to, p)
			}
		}
	}
	for _, m := range messages {
		x.sendLocked(message{Quarantine: m}, to)
	}
}

// sendLoadsLocked sends loads, split into messages of about requestsPerMessage requests. The first part is added to m, which is sent
// even if there are no loads.
func (x *Exchange) sendLoadsLocked(m message, loads []endpoint.Load, now time.Time, to []*peerState) {
	for start := 0; start == 0 || start < len(loads); {
		requests, end := 0, start
		for end < len(loads) && (end == start || requests+len(loads[end].Requests) < requestsPerMessage) {
			requests += len(loads[end].Requests) + 1
			end++
		}
		m.Loads = encodeLoads(loads[start:end], now)
		x.sendLocked(m, to)
		if m, start = (message{}), end; end == 0 {
			return
		}
	}
}

// sendHeartbeats sends a heartbeat and all loads, less often to VMs that do not answer. In a large cell, each heartbeat goes to a part
// of the VMs in turn. It also sends beacons to VMs of other cells and removes VMs that have been silent for removeAfter.
func (x *Exchange) sendHeartbeats(now time.Time) {
	changed := x.fleet.TakeLoads()
	loads := x.fleet.Loads()
	prompts, _ := x.fleet.TakeWaitingPrompts()
	summaries := x.fleet.Summaries(now)
	leaving := x.fleet.Leaving(now)
	paces := x.paces(now)
	usage := x.usageReports(now)
	home, joined := x.fleet.Cells(now)
	for _, l := range changed {
		if len(l.Requests) == 0 {
			loads = append(loads, l)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateMembersLocked()
	if home != x.home || !slices.Equal(joined, x.joined) {
		x.joinLocked(home, joined, now)
	}
	x.round++
	rounds := endpoint.ReportRounds(x.members.InCell)
	var to, ended, others []*peerState
	for address, p := range x.peers {
		shares := x.sharesCellLocked(p) || p.dataCentre == ""
		reachable := x.isAliveLocked(p, now)
		if shares && p.loggedAlive != reachable {
			p.loggedAlive = reachable
			x.logger.WithFields(log.Fields{"vm": address, "alive": reachable}).Info("peer: a VM changed state")
		}
		silent := now.Sub(later(p.lastReceived, p.addedAt))
		if silent > removeOtherAfter || shares && silent > removeAfter {
			delete(x.peers, address)
			x.changed = true
			continue
		}
		if !shares {
			others = append(others, p)
			continue
		}
		interval := silentInterval
		if silent < newlySilentFor {
			interval = newlySilentInterval
		}
		inTurn := (x.round+int(uint64(endpoint.KeyOf(address))%uint64(rounds)))%rounds == 0
		switch {
		case reachable && inTurn, !reachable && now.Sub(p.lastHeartbeat) >= interval:
			p.lastHeartbeat = now
			to = append(to, p)
		case reachable:
			ended = append(ended, p)
		}
	}
	m := x.heartbeatLocked(now)
	m.WaitingPrompts, m.WaitingRanks = encodeWaitingPrompts(prompts, now), encodeRanks(prompts)
	m.Leaving, m.Paces = encodeLeaving(leaving), x.sendPacesLocked(paces, to)
	m.Usage, m.Exceeding, m.Lagging = usage, positionsOf(prompts, exceeds), positionsOf(prompts, lags)
	x.sendLoadsLocked(m, loads, now, to)
	if len(changed) > 0 {
		x.sendLoadsLocked(message{}, changed, now, ended)
	}
	x.sendBeaconsLocked(summaries, others, now)
}

// sendBeaconsLocked sends the state of this VM's cell to some VMs of other cells.
func (x *Exchange) sendBeaconsLocked(summaries []endpoint.Summary, others []*peerState, now time.Time) {
	if len(others) == 0 {
		return
	}
	to := make([]*peerState, 0, beaconsPerInterval)
	for range min(beaconsPerInterval, len(others)) {
		i := rand.IntN(len(others))
		to = append(to, others[i])
		others = slices.Delete(others, i, i+1)
	}
	x.sendLocked(message{
		Peers: samplePeers(x.aliveLocked(now)), DataCentre: x.dataCentre, Joined: x.joined, Summaries: encodeSummaries(summaries),
		Continuity: x.store.Continuity().Milliseconds(), CutOff: x.fleet.CutOff(),
	}, to)
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
		x.handle(buf[:n])
	}
}

// handle decodes and applies one datagram. Whatever a datagram contains, it ends neither the process nor the exchange.
func (x *Exchange) handle(data []byte) {
	defer func() {
		if r := recover(); r != nil {
			x.logger.WithFields(log.Fields{"panic": fmt.Sprint(r), "bytes": len(data), "stack": string(debug.Stack())}).Error("peer: applying a datagram failed")
		}
	}()
	var m message
	if err := decodeMode.Unmarshal(data, &m); err != nil {
		x.logger.WithError(err).Warn("peer: decoding a datagram failed")
		return
	}
	x.apply(&m)
}

// apply applies one datagram. It ignores the loads and waiting prompts of a datagram that arrives after a later one.
func (x *Exchange) apply(m *message) {
	now := x.now()
	known, stale := x.applySender(m, now)
	if !known {
		return
	}
	if len(m.Loads) > 0 && !stale {
		x.fleet.MergeLoads(now, m.From, decodeLoads(m.Loads, now))
	}
	if len(m.Summaries) > 0 {
		x.fleet.MergeSummaries(now, decodeSummaries(m.Summaries))
	}
	if len(m.Leaving) > 0 {
		x.fleet.MergeLeaving(decodeLeaving(m.Leaving))
	}
	if len(m.Suspects) > 0 {
		x.fleet.MergeSuspects(decodeSuspects(m.Suspects, now))
	}
	if len(m.Pauses) > 0 {
		x.fleet.MergePauses(now, decodeSuspects(m.Pauses, now))
	}
	if m.Paces != nil && !stale {
		x.fleet.MergePaces(now, m.From, decodePaces(*m.Paces, now))
	}
	if m.WaitingPrompts != nil && !stale {
		prompts := decodeRanks(decodeWaitingPrompts(*m.WaitingPrompts, now), m.WaitingRanks)
		x.fleet.MergeWaitingPrompts(now, m.From, mark(mark(prompts, m.Exceeding, exceeds), m.Lagging, lags))
	}
	if len(m.Placements) > 0 {
		x.fleet.MergePlacements(now, decodePlacements(m.Placements)) // also from a datagram that was overtaken: each one counts
	}
	if m.Heartbeat && x.shares != nil && !stale {
		x.shares.Merge(now, m.From, decodeUsage(m.Usage))
	}
	if m.Quarantine != nil && x.quarantine != nil {
		x.quarantine.Merge(decodeQuarantine(m.Quarantine, now))
	}
	if m.Continuity > 0 && !stale {
		x.store.ReceiveContinuity(m.From, time.Duration(m.Continuity)*time.Millisecond)
	}
	for _, batch := range m.RecordBatches {
		if x.receiver.ReceiveRecords(m.From, batch.Topic, batch.From, batch.End, time.Duration(batch.Age)*time.Millisecond, decodeRecords(batch.Records)) {
			x.receiver.RecordsMissing(batch.Topic, m.From, batch.End)
		}
	}
}

// applySender applies what a datagram says of its sender. known is false if the rest of the datagram is to be ignored, and stale is true
// if a later one was applied before. It answers the heartbeat of a VM that was not reachable before, or that has joined a common
// cell, so that the VM learns this one's loads at once.
func (x *Exchange) applySender(m *message, now time.Time) (known, stale bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.addLocked(m.From)
	if p == nil {
		return false, false
	}
	if m.Stopping {
		p.lastReceived = time.Time{} // the VM no longer counts as alive
		return false, false
	}
	stale = m.StartedAt < p.startedAt || m.StartedAt == p.startedAt && m.Seq < p.seq
	if !stale {
		p.startedAt, p.seq = m.StartedAt, m.Seq
	}
	newlyReachable := !x.isAliveLocked(p, now)
	p.lastReceived = now
	for _, address := range m.Peers[:min(len(m.Peers), peersPerHeartbeat)] {
		x.addLocked(address)
	}
	shared := x.sharesCellLocked(p)
	if m.DataCentre != "" && !stale {
		// The data centre, the joined cells and whether the VM is cut off are part of heartbeats and beacons only.
		x.changed = x.changed || p.dataCentre != m.DataCentre
		p.dataCentre, p.joined, p.cutOff = m.DataCentre, m.Joined, m.CutOff
	}
	x.updateMembersLocked()
	if x.sharesCellLocked(p) && m.Heartbeat && (newlyReachable || !shared) {
		x.sendLoadsLocked(x.heartbeatLocked(now), x.fleet.Loads(), now, []*peerState{p})
	}
	return true, stale
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

package entry

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the believed state of a member.
type State uint8

// States of a member. For equal incarnations and refutations the higher state takes precedence.
const (
	StateAlive   State = iota + 1
	StateSuspect       // direct and indirect probes failed
	StateLeaving       // the member announced that it stops; it still answers
	StateDead          // the member did not refute the suspicion in time
)

var stateNames = [...]string{StateAlive: "alive", StateSuspect: "suspect", StateLeaving: "leaving", StateDead: "dead"}

// String returns the state as shown in status output and metrics.
func (s State) String() string {
	if s >= StateAlive && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is the known state of one VM of the data centre.
type Member struct {
	vm          VM
	incarnation uint64 // assigned at the VM's start
	refutation  uint64 // increased by the member itself to contradict a suspicion
	state       State
	since       time.Time
}

// VM returns the member's identity in the fleet document.
func (m Member) VM() VM { return m.vm }

// Incarnation returns the number that the VM was assigned at its start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the believed state of the member.
func (m Member) State() State { return m.state }

// StateSince returns when the member entered its state, by this VM's clock.
func (m Member) StateSince() time.Time { return m.since }

// supersedes reports whether m is newer than old for the same VM.
func (m Member) supersedes(old Member) bool {
	return cmp.Or(cmp.Compare(m.incarnation, old.incarnation), cmp.Compare(m.refutation, old.refutation), cmp.Compare(m.state, old.state)) > 0
}

const (
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval = time.Second
	// probeTimeout bounds a direct probe, and the probe that a relay sends in an indirect one. Both timeouts together
	// are shorter than ProbeInterval.
	probeTimeout = 400 * time.Millisecond
	// probeRelays is the number of members that are asked to probe a member that did not answer.
	probeRelays = 2
	// maxPiggyback bounds the updates in one message, so that its size is independent of the size of the fleet.
	maxPiggyback = 8
	// suspicionTimeout is the shortest time that a suspected member has to refute. The actual time grows with the
	// logarithm of the number of members, because an update needs that many rounds to reach all of them.
	suspicionTimeout = 3 * time.Second
	// deadMemberRetention is how long a dead member that is not in the configuration is remembered.
	deadMemberRetention = time.Minute
	// deadProbeEvery is the interval, in probes, at which a dead member is probed, so that the end of a partition is
	// detected.
	deadProbeEvery = 4
)

// Members is one VM's view of the VMs of its data centre. It follows the SWIM protocol: random probes, indirect probes
// before suspicion, incarnation numbers with refutation, and updates piggybacked on probes. It does no I/O: the caller
// sends the probes and provides the time and the source of randomness.
//
// Invariant: the known state of a VM is only replaced by a newer one in the order of incarnation, refutation, state.
type Members struct {
	self       Member
	superseded bool
	known      map[string]*memberRecord
	probeQueue []string // members still to be probed in this round
	probeCount int
	rnd        *rand.Rand
}

// memberRecord is the known state of another VM and how often it was sent on.
type memberRecord struct {
	Member
	timesSent  int  // how often the newest update was sent to other members
	configured bool // the VM is in the configuration
	received   bool // a state of the VM was received, from itself or from another member
}

// NewMembers returns the view of a VM that knows only itself.
func NewMembers(self VM, incarnation uint64, now time.Time, rnd *rand.Rand) *Members {
	return &Members{
		self:  Member{vm: self, incarnation: incarnation, state: StateAlive, since: now},
		known: map[string]*memberRecord{},
		rnd:   rnd,
	}
}

// SetVMs sets the configured VMs of this data centre. An address in the configuration replaces the one learned from
// other members. VMs whose state was never received are probed but do not count as alive.
func (m *Members) SetVMs(now time.Time, vms []VM) {
	for _, rec := range m.known {
		rec.configured = false
	}
	for _, vm := range vms {
		if vm.Name == m.self.vm.Name {
			m.self.vm.Address = vm.Address
			continue
		}
		rec := m.known[vm.Name]
		if rec == nil {
			rec = &memberRecord{Member: Member{state: StateDead, since: now}}
			m.known[vm.Name] = rec
		}
		rec.configured, rec.vm = true, vm
	}
}

// Self returns this VM's own state.
func (m *Members) Self() Member { return m.self }

// Superseded reports whether a process with a higher incarnation uses this VM's name.
func (m *Members) Superseded() bool { return m.superseded }

// Leave makes this VM announce that it stops.
func (m *Members) Leave(now time.Time) {
	m.self.state, m.self.since = StateLeaving, now
	m.self.refutation++
}

// ApplyUpdates applies updates from other members that are newer than the known state.
func (m *Members) ApplyUpdates(now time.Time, updates []Member) {
	for _, u := range updates {
		if u.state < StateAlive || u.state > StateDead || u.vm.DataCentre != m.self.vm.DataCentre {
			continue
		}
		if u.vm.Name == m.self.vm.Name {
			m.refute(u)
			continue
		}
		rec := m.known[u.vm.Name]
		if rec == nil {
			if u.state == StateDead {
				continue // useful only to members that consider the VM alive
			}
			rec = &memberRecord{}
			m.known[u.vm.Name] = rec
		}
		if rec.received && !u.supersedes(rec.Member) {
			continue
		}
		if rec.configured {
			u.vm = rec.vm
		}
		changed := u.state != rec.state
		since := rec.since
		rec.Member, rec.timesSent, rec.received = u, 0, true
		rec.since = since
		if changed || since.IsZero() {
			rec.since = now
		}
	}
}

// refute contradicts a wrong belief of other members about this VM.
func (m *Members) refute(u Member) {
	if m.supersede(u.incarnation) {
		return
	}
	if u.supersedes(m.self) {
		m.self.refutation = u.refutation + 1
	}
}

// supersede records that a process with this VM's name exists. It reports whether that process has a higher incarnation.
func (m *Members) supersede(incarnation uint64) bool {
	m.superseded = m.superseded || incarnation > m.self.incarnation
	return incarnation > m.self.incarnation
}

// ProbeFailed records that a VM answered neither a direct nor an indirect probe.
func (m *Members) ProbeFailed(now time.Time, name string) {
	if rec := m.known[name]; rec != nil && (rec.state == StateAlive || rec.state == StateLeaving && now.Sub(rec.since) > m.suspicionPeriod()) {
		state := StateSuspect
		if rec.state == StateLeaving {
			state = StateDead // it announced that it stops and no longer answers
		}
		rec.state, rec.since, rec.timesSent = state, now, 0
	}
}

// Tick declares suspects dead that did not refute in time, and removes members that are not configured and have been dead
// for deadMemberRetention.
func (m *Members) Tick(now time.Time) {
	for name, rec := range m.known {
		if rec.state == StateSuspect && now.Sub(rec.since) >= m.suspicionPeriod() {
			rec.state, rec.since, rec.timesSent = StateDead, now, 0
		}
		if rec.state == StateDead && !rec.configured && now.Sub(rec.since) >= deadMemberRetention {
			delete(m.known, name)
		}
	}
}

// suspicionPeriod returns how long a suspected member has to refute: suspicionTimeout with up to 7 VMs, and one more
// suspicionTimeout each time that the number of VMs reaches a higher power of two.
func (m *Members) suspicionPeriod() time.Duration {
	return suspicionTimeout * time.Duration(max(1, bits.Len(uint(len(m.known)+1))-2))
}

// NextProbeTarget returns the member to probe next. Each round visits all members in a random order, which bounds the time until
// a failure is detected.
func (m *Members) NextProbeTarget() (Member, bool) {
	m.probeCount++
	if m.probeCount%deadProbeEvery == 0 || !m.any(func(k *memberRecord) bool { return k.state != StateDead }) {
		if rec := m.random(func(k *memberRecord) bool { return k.state == StateDead && k.configured }); rec != nil {
			return rec.Member, true
		}
	}
	for refilled := false; ; refilled = true {
		for len(m.probeQueue) > 0 {
			name := m.probeQueue[len(m.probeQueue)-1]
			m.probeQueue = m.probeQueue[:len(m.probeQueue)-1]
			if rec := m.known[name]; rec != nil && rec.state != StateDead {
				return rec.Member, true
			}
		}
		if refilled {
			return Member{}, false
		}
		m.probeQueue = m.names(func(k *memberRecord) bool { return k.state != StateDead })
		m.rnd.Shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	}
}

// RandomAlive returns up to n live members in random order, excluding the one with the given name.
func (m *Members) RandomAlive(n int, except string) []Member {
	names := m.names(func(k *memberRecord) bool { return k.state == StateAlive && k.vm.Name != except })
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var out []Member
	for _, name := range names[:min(n, len(names))] {
		out = append(out, m.known[name].Member)
	}
	return out
}

// Updates returns the updates to send to a VM: this VM's own state, the believed state of the receiver if the receiver may
// have to refute it, and the updates that were sent least often.
func (m *Members) Updates(to string) []Member {
	out := []Member{m.self}
	if rec := m.known[to]; rec != nil && rec.received && rec.state != StateAlive {
		out = append(out, rec.Member)
	}
	// The number of rounds that an update needs to reach all members grows with the logarithm of their number.
	limit := 3 * bits.Len(uint(len(m.known)+1))
	pending := m.names(func(k *memberRecord) bool { return k.received && k.timesSent < limit && k.vm.Name != to })
	slices.SortStableFunc(pending, func(a, b string) int { return cmp.Compare(m.known[a].timesSent, m.known[b].timesSent) })
	for _, name := range pending[:min(len(pending), maxPiggyback)] {
		rec := m.known[name]
		rec.timesSent++
		out = append(out, rec.Member)
	}
	return out
}

// Get returns the known state of a VM.
func (m *Members) Get(name string) (Member, bool) {
	if name == m.self.vm.Name {
		return m.self, true
	}
	if rec := m.known[name]; rec != nil {
		return rec.Member, true
	}
	return Member{}, false
}

// Live reports whether a VM is believed to be running and not about to stop. A suspect counts as live until its time to
// refute is over.
func (m *Members) Live(name string) bool {
	v, ok := m.Get(name)
	return ok && (v.state == StateAlive || v.state == StateSuspect)
}

// NeverSeen reports whether no state of a configured VM was ever received, from itself or from another member.
func (m *Members) NeverSeen(name string) bool {
	rec := m.known[name]
	return rec != nil && !rec.received
}

// All returns every known member by name, this VM included.
func (m *Members) All() []Member {
	out := []Member{m.self}
	for _, rec := range m.known {
		out = append(out, rec.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
	return out
}

// names returns the names of the matching VMs in sorted order, so that a run with a fixed source of randomness is
// reproducible.
func (m *Members) names(match func(*memberRecord) bool) []string {
	var out []string
	for name, rec := range m.known {
		if match(rec) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Members) any(match func(*memberRecord) bool) bool { return len(m.names(match)) > 0 }

// random returns a random matching member, or nil.
func (m *Members) random(match func(*memberRecord) bool) *memberRecord {
	names := m.names(match)
	if len(names) == 0 {
		return nil
	}
	return m.known[names[m.rnd.IntN(len(names))]]
}

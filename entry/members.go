package entry

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is believed about a member.
type State uint8

// States of a member. For equal incarnations the higher state takes precedence.
const (
	StateAlive   State = iota + 1
	StateSuspect       // direct and indirect probes failed
	StateLeaving       // the member said that it stops; it still answers
	StateDead          // did not refute the suspicion in time
)

var stateNames = [...]string{StateAlive: "alive", StateSuspect: "suspect", StateLeaving: "leaving", StateDead: "dead"}

// String returns the state as it stands in status output and metrics.
func (s State) String() string {
	if s >= StateAlive && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is what is known about one VM of the data centre.
type Member struct {
	place       Place
	incarnation uint64 // taken at the VM's start
	refutation  uint64 // raised by the member itself to contradict a suspicion
	state       State
	since       time.Time
}

// Place returns the member's place.
func (m Member) Place() Place { return m.place }

// Incarnation returns the number that the VM took at its start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns what is believed about the member.
func (m Member) State() State { return m.state }

// Since returns when the state was entered, by this VM's clock.
func (m Member) Since() time.Time { return m.since }

// supersedes says whether m is newer knowledge than old about the same place.
func (m Member) supersedes(old Member) bool {
	return cmp.Or(cmp.Compare(m.incarnation, old.incarnation), cmp.Compare(m.refutation, old.refutation), cmp.Compare(m.state, old.state)) > 0
}

const (
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval = time.Second
	// probeTimeout bounds a direct probe and, once more, an indirect one. Both fit into one interval.
	probeTimeout = 400 * time.Millisecond
	// probeRelays is the number of members that are asked to probe a member that did not answer.
	probeRelays = 2
	// maxPiggyback bounds the updates in one message, so that its size is independent of the fleet's size.
	maxPiggyback = 8
	// suspicionTimeout is the shortest time in which a suspected member can refute. It grows with the logarithm of the number
	// of members, because news needs that many rounds to reach everyone.
	suspicionTimeout = 3 * time.Second
	// forgetAfter is how long a dead member that has no place in the configuration is remembered.
	forgetAfter = time.Minute
	// deadProbeEvery is the share of probes that go to dead members, so that a healed partition is noticed.
	deadProbeEvery = 4
)

// Members is one VM's view of the VMs of its data centre, kept by the rules of SWIM: random probes, indirect probes before
// suspicion, incarnation numbers with refutation and updates that travel on probes. It is pure: the caller sends the probes
// and gives the time and the source of randomness.
//
// Invariant: what is known about a place is only replaced by newer knowledge in the order of incarnation, refutation, state.
type Members struct {
	self       Member
	superseded bool
	known      map[string]*known
	round      []string // members still to probe in this round
	probes     int
	rnd        *rand.Rand
}

type known struct {
	Member
	sends      int  // how often the newest update was passed on
	configured bool // has a place in the configuration
	heard      bool // the VM at the place was heard, directly or through others
}

// NewMembers returns the view of a VM that knows only itself.
func NewMembers(self Place, incarnation uint64, now time.Time, rnd *rand.Rand) *Members {
	return &Members{
		self:  Member{place: self, incarnation: incarnation, state: StateAlive, since: now},
		known: map[string]*known{},
		rnd:   rnd,
	}
}

// SetPlaces tells which places the configuration has in this data centre. An address in the configuration replaces the one
// learned from other members. VMs that were never heard are probed but do not count as alive.
func (m *Members) SetPlaces(now time.Time, places []Place) {
	for _, k := range m.known {
		k.configured = false
	}
	for _, p := range places {
		if p.Name == m.self.place.Name {
			m.self.place.Address = p.Address
			continue
		}
		k := m.known[p.Name]
		if k == nil {
			k = &known{Member: Member{state: StateDead, since: now}}
			m.known[p.Name] = k
		}
		k.configured, k.place = true, p
	}
}

// Self returns this VM's own state.
func (m *Members) Self() Member { return m.self }

// Superseded says whether another VM has taken this VM's place with a higher incarnation.
func (m *Members) Superseded() bool { return m.superseded }

// Leave makes this VM tell the others that it stops.
func (m *Members) Leave(now time.Time) {
	m.self.state, m.self.since = StateLeaving, now
	m.self.refutation++
}

// Apply takes over what is newer in updates from other members.
func (m *Members) Apply(now time.Time, updates []Member) {
	for _, u := range updates {
		if u.state < StateAlive || u.state > StateDead || u.place.DataCentre != m.self.place.DataCentre {
			continue
		}
		if u.place.Name == m.self.place.Name {
			m.applySelf(u)
			continue
		}
		k := m.known[u.place.Name]
		if k == nil {
			if u.state == StateDead {
				continue // news of a dead VM is of use only to those who believe that it lives
			}
			k = &known{}
			m.known[u.place.Name] = k
		}
		if k.heard && !u.supersedes(k.Member) {
			continue
		}
		if k.configured {
			u.place = k.place
		}
		changed := u.state != k.state
		since := k.since
		k.Member, k.sends, k.heard = u, 0, true
		k.since = since
		if changed || since.IsZero() {
			k.since = now
		}
	}
}

// applySelf refutes what others wrongly believe about this VM.
func (m *Members) applySelf(u Member) {
	if m.supersede(u.incarnation) {
		return
	}
	if u.supersedes(m.self) {
		m.self.refutation = u.refutation + 1
	}
}

// supersede notes that a run of this VM's place is known. It returns whether the run has a higher incarnation.
func (m *Members) supersede(incarnation uint64) bool {
	m.superseded = m.superseded || incarnation > m.self.incarnation
	return incarnation > m.self.incarnation
}

// Failed reports that the VM at a place answered neither a direct nor an indirect probe.
func (m *Members) Failed(now time.Time, place string) {
	if k := m.known[place]; k != nil && (k.state == StateAlive || k.state == StateLeaving && now.Sub(k.since) > m.suspicion()) {
		state := StateSuspect
		if k.state == StateLeaving {
			state = StateDead // it said that it stops and no longer answers
		}
		k.state, k.since, k.sends = state, now, 0
	}
}

// Tick declares suspects dead that did not refute in time and forgets dead members without a place.
func (m *Members) Tick(now time.Time) {
	for name, k := range m.known {
		if k.state == StateSuspect && now.Sub(k.since) >= m.suspicion() {
			k.state, k.since, k.sends = StateDead, now, 0
		}
		if k.state == StateDead && !k.configured && now.Sub(k.since) >= forgetAfter {
			delete(m.known, name)
		}
	}
}

func (m *Members) suspicion() time.Duration {
	return suspicionTimeout * time.Duration(max(1, bits.Len(uint(len(m.known)+1))-2))
}

// Target returns the member to probe next. Each round visits the members in a random order, so that the time until a failure
// is noticed is bounded.
func (m *Members) Target() (Member, bool) {
	m.probes++
	if m.probes%deadProbeEvery == 0 || !m.any(func(k *known) bool { return k.state != StateDead }) {
		if k := m.random(func(k *known) bool { return k.state == StateDead && k.configured }); k != nil {
			return k.Member, true
		}
	}
	for refilled := false; ; refilled = true {
		for len(m.round) > 0 {
			name := m.round[len(m.round)-1]
			m.round = m.round[:len(m.round)-1]
			if k := m.known[name]; k != nil && k.state != StateDead {
				return k.Member, true
			}
		}
		if refilled {
			return Member{}, false
		}
		m.round = m.names(func(k *known) bool { return k.state != StateDead })
		m.rnd.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
}

// Random returns up to n live members in random order, without the one at place.
func (m *Members) Random(n int, place string) []Member {
	names := m.names(func(k *known) bool { return k.state == StateAlive && k.place.Name != place })
	m.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var out []Member
	for _, name := range names[:min(n, len(names))] {
		out = append(out, m.known[name].Member)
	}
	return out
}

// Updates returns what is to be told to the VM at place: this VM's own state, what is believed about the receiver if it has
// to be refuted, and the news that was passed on least often.
func (m *Members) Updates(place string) []Member {
	out := []Member{m.self}
	if k := m.known[place]; k != nil && k.heard && k.state != StateAlive {
		out = append(out, k.Member)
	}
	limit := 3 * bits.Len(uint(len(m.known)+1))
	news := m.names(func(k *known) bool { return k.heard && k.sends < limit && k.place.Name != place })
	slices.SortStableFunc(news, func(a, b string) int { return cmp.Compare(m.known[a].sends, m.known[b].sends) })
	for _, name := range news[:min(len(news), maxPiggyback)] {
		k := m.known[name]
		k.sends++
		out = append(out, k.Member)
	}
	return out
}

// Get returns what is known about a place.
func (m *Members) Get(place string) (Member, bool) {
	if place == m.self.place.Name {
		return m.self, true
	}
	if k := m.known[place]; k != nil {
		return k.Member, true
	}
	return Member{}, false
}

// Live says whether the VM at place is believed to live and to stay. A suspect counts as live until its time is over.
func (m *Members) Live(place string) bool {
	v, ok := m.Get(place)
	return ok && (v.state == StateAlive || v.state == StateSuspect)
}

// Unheard says whether a place of the configuration was never heard, directly or through others.
func (m *Members) Unheard(place string) bool {
	k := m.known[place]
	return k != nil && !k.heard
}

// All returns every known member by place, this VM included.
func (m *Members) All() []Member {
	out := []Member{m.self}
	for _, k := range m.known {
		out = append(out, k.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.place.Name, b.place.Name) })
	return out
}

// names returns the places that match, in a fixed order so that a run with a fixed source of randomness can be repeated.
func (m *Members) names(match func(*known) bool) []string {
	var out []string
	for name, k := range m.known {
		if match(k) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Members) any(match func(*known) bool) bool { return len(m.names(match)) > 0 }

func (m *Members) random(match func(*known) bool) *known {
	names := m.names(match)
	if len(names) == 0 {
		return nil
	}
	return m.known[names[m.rnd.IntN(len(names))]]
}

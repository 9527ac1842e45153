package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Site is another data centre as last reported.
type Site struct {
	DataCentre string
	Reachable  bool           // one of its VMs was heard lately
	Drained    bool           // takes no new work
	Spare      map[string]int // free KV-cache tokens by model
	Heard      time.Time      // when the report was made, by this VM's clock
}

// siteWire is a report about a data centre. It travels with its age, because clocks differ.
type siteWire struct {
	DataCentre string         `cbor:"1,keyasint"`
	Drained    bool           `cbor:"2,keyasint,omitempty"`
	Spare      map[string]int `cbor:"3,keyasint,omitempty"`
	Age        time.Duration  `cbor:"4,keyasint"`
}

const (
	// siteTimeout is how long a data centre counts as reachable after one of its VMs was heard. With one contact a second in
	// turn, each of seven data centres is probed several times within it.
	siteTimeout = 15 * time.Second
	// maxContacts bounds the VMs that are remembered of one data centre.
	maxContacts = 16
	// maxSites bounds the reports in one message.
	maxSites = 16
)

// sites keeps what is known about other data centres. It is pure.
type sites struct {
	own   string
	known map[string]*site
	next  int
}

type site struct {
	report   siteWire
	reported time.Time
	heard    time.Time // one of its VMs answered or called
	places   []Place   // from the configuration
	live     map[string]contact
}

type contact struct {
	member Member
	heard  time.Time
}

func newSites(own string) *sites { return &sites{own: own, known: map[string]*site{}} }

func (s *sites) get(dataCentre string) *site {
	d := s.known[dataCentre]
	if d == nil {
		d = &site{live: map[string]contact{}}
		s.known[dataCentre] = d
	}
	return d
}

func (s *sites) setPlaces(places []Place) {
	for _, d := range s.known {
		d.places = nil
	}
	for _, p := range places {
		if p.DataCentre != s.own {
			d := s.get(p.DataCentre)
			d.places = append(d.places, p)
		}
	}
}

// names returns the known data centres in a fixed order.
func (s *sites) names() []string {
	out := make([]string, 0, len(s.known))
	for name := range s.known {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// target returns the VM to probe next. The data centres take turns; in each, any place is chosen, so that returning VMs are
// found and the probes spread over the VMs.
func (s *sites) target(rnd *rand.Rand) (Place, bool) {
	names := s.names()
	for range names {
		d := s.known[names[s.next%len(names)]]
		s.next++
		if len(d.places) > 0 {
			return d.places[rnd.IntN(len(d.places))], true
		}
		for _, c := range d.live {
			return c.member.place, true
		}
	}
	return Place{}, false
}

// contacts returns the address of one VM in each other data centre, a live one where one is known.
func (s *sites) contacts(rnd *rand.Rand) []string {
	var out []string
	for _, name := range s.names() {
		d := s.known[name]
		if live := d.sorted(); len(live) > 0 {
			out = append(out, live[rnd.IntN(len(live))].member.place.Address)
		} else if len(d.places) > 0 {
			out = append(out, d.places[rnd.IntN(len(d.places))].Address)
		}
	}
	return out
}

// heard takes over which VMs of another data centre live, as one of them told.
func (s *sites) heard(now time.Time, updates []Member) {
	if len(updates) == 0 || updates[0].place.DataCentre == s.own || updates[0].place.DataCentre == "" {
		return
	}
	d := s.get(updates[0].place.DataCentre)
	d.heard = now
	for _, m := range updates {
		if m.place.DataCentre != updates[0].place.DataCentre {
			continue
		}
		if m.state == StateAlive {
			d.live[m.place.Name] = contact{m, now}
		} else {
			delete(d.live, m.place.Name)
		}
	}
	for name, c := range d.live {
		if now.Sub(c.heard) > siteTimeout {
			delete(d.live, name)
		}
	}
	for name := range d.live {
		if len(d.live) <= maxContacts {
			break
		}
		delete(d.live, name)
	}
}

// apply takes over newer reports.
func (s *sites) apply(now time.Time, reports []siteWire) {
	for _, r := range reports[:min(len(reports), maxSites)] {
		if r.DataCentre == s.own || r.DataCentre == "" || r.Age < 0 {
			continue
		}
		d := s.get(r.DataCentre)
		if at := now.Add(-r.Age); at.After(d.reported) {
			d.report, d.reported = r, at
		}
	}
}

// reports returns what is known about other data centres for other VMs.
func (s *sites) reports(now time.Time) []siteWire {
	var out []siteWire
	for _, name := range s.names() {
		d := s.known[name]
		if age := now.Sub(d.reported); age < siteTimeout && len(out) < maxSites-1 {
			r := d.report
			r.Age = age
			out = append(out, r)
		}
	}
	return out
}

// view returns the data centres for readers, and the live VMs of each, the one heard last first.
func (s *sites) view(now time.Time, drained func(string) bool) ([]Site, map[string][]Member) {
	var out []Site
	live := map[string][]Member{}
	for _, name := range s.names() {
		d := s.known[name]
		out = append(out, Site{
			DataCentre: name,
			Reachable:  now.Sub(d.heard) < siteTimeout || now.Sub(d.reported) < siteTimeout,
			Drained:    d.report.Drained || drained("dataCentre/"+name),
			Spare:      d.report.Spare,
			Heard:      d.reported,
		})
		for _, c := range d.sorted() {
			live[name] = append(live[name], c.member)
		}
		if len(live[name]) == 0 {
			for _, p := range d.places {
				live[name] = append(live[name], Member{place: p})
			}
		}
	}
	return out, live
}

func (d *site) sorted() []contact {
	out := make([]contact, 0, len(d.live))
	for _, c := range d.live {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b contact) int {
		return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.member.place.Name, b.member.place.Name))
	})
	return out
}

// loadTimeout is the age up to which a load counts as spare capacity.
const loadTimeout = 10 * time.Second

// siteUpdates returns the reports for another VM, the one about this data centre first.
func (n *Node) siteUpdates(now time.Time) []siteWire {
	own := siteWire{DataCentre: n.cfg.DataCentre, Drained: n.drained("dataCentre/" + n.cfg.DataCentre), Spare: map[string]int{}}
	for name, l := range n.loads {
		if s, ok := n.specs[name]; ok && now.Sub(l.at) < loadTimeout && !n.drained("endpoint/"+name) {
			own.Spare[s.Model] += max(0, l.load.FreeTokens)
		}
	}
	return append([]siteWire{own}, n.sites.reports(now)...)
}

package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Site is the last known state of another data centre.
type Site struct {
	DataCentre string
	Reachable  bool           // a message from one of its VMs, or a report about it, arrived within siteTimeout
	Drained    bool           // accepts no new work
	FreeTokens map[string]int // free KV-cache tokens by model
	ReportedAt time.Time      // when the newest report about it was made, by this VM's clock
}

// siteWire is the encoding of a report about a data centre. It contains the report's age instead of a time, because the
// clocks of VMs differ.
type siteWire struct {
	DataCentre string         `cbor:"1,keyasint"`
	Drained    bool           `cbor:"2,keyasint,omitempty"`
	Spare      map[string]int `cbor:"3,keyasint,omitempty"`
	Age        time.Duration  `cbor:"4,keyasint"`
}

const (
	// siteTimeout is how long a data centre counts as reachable after a message from one of its VMs. The data centres
	// are probed in turn, one each second, so each of seven is probed at least twice within this time.
	siteTimeout = 15 * time.Second
	// maxContacts bounds the number of live VMs that are stored for one data centre.
	maxContacts = 16
	// maxSiteReports bounds the number of reports in one message.
	maxSiteReports = 16
)

// sites tracks the state of the other data centres. It does no I/O and reads no clock.
type sites struct {
	ownDataCentre string
	known         map[string]*site
	nextIndex     int
}

// site is the state of one other data centre.
type site struct {
	report     siteWire
	reportedAt time.Time
	receivedAt time.Time // when one of its VMs last answered or sent a message
	vms        []VM      // from the configuration
	liveVMs    map[string]contact
}

// contact is a live VM of another data centre.
type contact struct {
	member     Member
	receivedAt time.Time
}

func newSites(own string) *sites { return &sites{ownDataCentre: own, known: map[string]*site{}} }

func (s *sites) get(dataCentre string) *site {
	d := s.known[dataCentre]
	if d == nil {
		d = &site{liveVMs: map[string]contact{}}
		s.known[dataCentre] = d
	}
	return d
}

// setVMs sets the VMs of the configuration.
func (s *sites) setVMs(vms []VM) {
	for _, d := range s.known {
		d.vms = nil
	}
	for _, vm := range vms {
		if vm.DataCentre != s.ownDataCentre {
			d := s.get(vm.DataCentre)
			d.vms = append(d.vms, vm)
		}
	}
}

// names returns the known data centres in sorted order.
func (s *sites) names() []string {
	out := make([]string, 0, len(s.known))
	for name := range s.known {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// probeTarget returns the VM to probe next. The data centres take turns. Within a data centre a random VM is selected, so
// that restarted VMs are detected and the probes are spread over all VMs.
func (s *sites) probeTarget(rnd *rand.Rand) (VM, bool) {
	names := s.names()
	for range names {
		d := s.known[names[s.nextIndex%len(names)]]
		s.nextIndex++
		if len(d.vms) > 0 {
			return d.vms[rnd.IntN(len(d.vms))], true
		}
		for _, c := range d.liveVMs {
			return c.member.vm, true
		}
	}
	return VM{}, false
}

// contacts returns the address of one VM in each other data centre, of a live VM if one is known.
func (s *sites) contacts(rnd *rand.Rand) []string {
	var out []string
	for _, name := range s.names() {
		d := s.known[name]
		if live := d.contactsByTime(); len(live) > 0 {
			out = append(out, live[rnd.IntN(len(live))].member.vm.Address)
		} else if len(d.vms) > 0 {
			out = append(out, d.vms[rnd.IntN(len(d.vms))].Address)
		}
	}
	return out
}

// applyMembers applies member updates from a VM of another data centre, of which the first is the sender's own.
func (s *sites) applyMembers(now time.Time, updates []Member) {
	if len(updates) == 0 || updates[0].vm.DataCentre == s.ownDataCentre || updates[0].vm.DataCentre == "" {
		return
	}
	d := s.get(updates[0].vm.DataCentre)
	d.receivedAt = now
	for _, m := range updates {
		if m.vm.DataCentre != updates[0].vm.DataCentre {
			continue
		}
		if m.state == StateAlive {
			d.liveVMs[m.vm.Name] = contact{m, now}
		} else {
			delete(d.liveVMs, m.vm.Name)
		}
	}
	for name, c := range d.liveVMs {
		if now.Sub(c.receivedAt) > siteTimeout {
			delete(d.liveVMs, name)
		}
	}
	for name := range d.liveVMs {
		if len(d.liveVMs) <= maxContacts {
			break
		}
		delete(d.liveVMs, name)
	}
}

// applyReports stores the reports that are newer than the known ones.
func (s *sites) applyReports(now time.Time, reports []siteWire) {
	for _, r := range reports[:min(len(reports), maxSiteReports)] {
		if r.DataCentre == s.ownDataCentre || r.DataCentre == "" || r.Age < 0 {
			continue
		}
		d := s.get(r.DataCentre)
		if at := now.Add(-r.Age); at.After(d.reportedAt) {
			d.report, d.reportedAt = r, at
		}
	}
}

// reports returns the recent reports about other data centres for a message to another VM. It leaves room for the report
// about this data centre.
func (s *sites) reports(now time.Time) []siteWire {
	var out []siteWire
	for _, name := range s.names() {
		d := s.known[name]
		if age := now.Sub(d.reportedAt); age < siteTimeout && len(out) < maxSiteReports-1 {
			r := d.report
			r.Age = age
			out = append(out, r)
		}
	}
	return out
}

// view returns the data centres for readers outside the control goroutine, and the live VMs of each, most recently
// received first. For a data centre without known live VMs, it returns the VMs of the configuration.
func (s *sites) view(now time.Time, drained func(string) bool) ([]Site, map[string][]Member) {
	var out []Site
	live := map[string][]Member{}
	for _, name := range s.names() {
		d := s.known[name]
		out = append(out, Site{
			DataCentre: name,
			Reachable:  now.Sub(d.receivedAt) < siteTimeout || now.Sub(d.reportedAt) < siteTimeout,
			Drained:    d.report.Drained || drained("dataCentre/"+name),
			FreeTokens: d.report.Spare,
			ReportedAt: d.reportedAt,
		})
		for _, c := range d.contactsByTime() {
			live[name] = append(live[name], c.member)
		}
		if len(live[name]) == 0 {
			for _, vm := range d.vms {
				live[name] = append(live[name], Member{vm: vm})
			}
		}
	}
	return out, live
}

// contactsByTime returns the live VMs, most recently received first.
func (d *site) contactsByTime() []contact {
	out := make([]contact, 0, len(d.liveVMs))
	for _, c := range d.liveVMs {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b contact) int {
		return cmp.Or(b.receivedAt.Compare(a.receivedAt), cmp.Compare(a.member.vm.Name, b.member.vm.Name))
	})
	return out
}

// maxSpareLoadAge is the age up to which an endpoint's load counts towards the free tokens that are reported to other data
// centres.
const maxSpareLoadAge = 10 * time.Second

// siteReports returns the reports for another VM, starting with the one about this data centre.
func (n *Node) siteReports(now time.Time) []siteWire {
	own := siteWire{DataCentre: n.cfg.DataCentre, Drained: n.drained("dataCentre/" + n.cfg.DataCentre), Spare: map[string]int{}}
	for name, l := range n.loads {
		if s, ok := n.specs[name]; ok && now.Sub(l.receivedAt) < maxSpareLoadAge && !n.drained("endpoint/"+name) {
			own.Spare[s.Model] += max(0, l.load.FreeTokens)
		}
	}
	return append([]siteWire{own}, n.sites.reports(now)...)
}

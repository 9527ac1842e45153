package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// DataCentreState is the last known state of another data centre.
type DataCentreState struct {
	DataCentre string
	Reachable  bool           // a message from one of its VMs, or a report about it, arrived within dataCentreTimeout
	Drained    bool           // accepts no new work
	FreeTokens map[string]int // free KV-cache tokens by model
	ReportedAt time.Time      // when the newest report about it was made, by this VM's clock
}

// dataCentreWire is the encoding of a report about a data centre. It contains the report's age instead of a time, because the
// clocks of VMs differ.
type dataCentreWire struct {
	DataCentre string         `cbor:"1,keyasint"`
	Drained    bool           `cbor:"2,keyasint,omitempty"`
	FreeTokens map[string]int `cbor:"3,keyasint,omitempty"`
	Age        time.Duration  `cbor:"4,keyasint"`
}

const (
	// dataCentreTimeout is how long a data centre counts as reachable after a message from one of its VMs. The data centres
	// are probed in turn, one each second, so each of seven is probed at least twice within this time.
	dataCentreTimeout = 15 * time.Second
	// maxContacts bounds the number of live VMs that are stored for one data centre.
	maxContacts = 16
	// maxDataCentreReports bounds the number of reports in one message.
	maxDataCentreReports = 16
)

// remoteDataCentres tracks the state of the other data centres. It does no I/O and reads no clock.
type remoteDataCentres struct {
	ownDataCentre string
	known         map[string]*remoteDataCentre
	nextIndex     int
}

// remoteDataCentre is the state of one other data centre.
type remoteDataCentre struct {
	report     dataCentreWire
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

func newRemoteDataCentres(own string) *remoteDataCentres {
	return &remoteDataCentres{ownDataCentre: own, known: map[string]*remoteDataCentre{}}
}

func (r *remoteDataCentres) get(dataCentre string) *remoteDataCentre {
	d := r.known[dataCentre]
	if d == nil {
		d = &remoteDataCentre{liveVMs: map[string]contact{}}
		r.known[dataCentre] = d
	}
	return d
}

// setVMs sets the VMs of the configuration.
func (r *remoteDataCentres) setVMs(vms []VM) {
	for _, d := range r.known {
		d.vms = nil
	}
	for _, vm := range vms {
		if vm.DataCentre != r.ownDataCentre {
			d := r.get(vm.DataCentre)
			d.vms = append(d.vms, vm)
		}
	}
}

// names returns the known data centres in sorted order.
func (r *remoteDataCentres) names() []string {
	out := make([]string, 0, len(r.known))
	for name := range r.known {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// probeTarget returns the VM to probe next. The data centres take turns. Within a data centre a random VM is selected, so
// that restarted VMs are detected and the probes are spread over all VMs.
func (r *remoteDataCentres) probeTarget(rnd *rand.Rand) (VM, bool) {
	names := r.names()
	for range names {
		d := r.known[names[r.nextIndex%len(names)]]
		r.nextIndex++
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
func (r *remoteDataCentres) contacts(rnd *rand.Rand) []string {
	var out []string
	for _, name := range r.names() {
		d := r.known[name]
		if live := d.contactsByTime(); len(live) > 0 {
			out = append(out, live[rnd.IntN(len(live))].member.vm.Address)
		} else if len(d.vms) > 0 {
			out = append(out, d.vms[rnd.IntN(len(d.vms))].Address)
		}
	}
	return out
}

// applyMembers applies member updates from a VM of another data centre, of which the first is the sender's own.
func (r *remoteDataCentres) applyMembers(now time.Time, updates []Member) {
	if len(updates) == 0 || updates[0].vm.DataCentre == r.ownDataCentre || updates[0].vm.DataCentre == "" {
		return
	}
	d := r.get(updates[0].vm.DataCentre)
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
		if now.Sub(c.receivedAt) > dataCentreTimeout {
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
func (r *remoteDataCentres) applyReports(now time.Time, reports []dataCentreWire) {
	for _, report := range reports[:min(len(reports), maxDataCentreReports)] {
		if report.DataCentre == r.ownDataCentre || report.DataCentre == "" || report.Age < 0 {
			continue
		}
		d := r.get(report.DataCentre)
		if at := now.Add(-report.Age); at.After(d.reportedAt) {
			d.report, d.reportedAt = report, at
		}
	}
}

// reports returns the recent reports about other data centres for a message to another VM. It leaves room for the report
// about this data centre.
func (r *remoteDataCentres) reports(now time.Time) []dataCentreWire {
	var out []dataCentreWire
	for _, name := range r.names() {
		d := r.known[name]
		if age := now.Sub(d.reportedAt); age < dataCentreTimeout && len(out) < maxDataCentreReports-1 {
			report := d.report
			report.Age = age
			out = append(out, report)
		}
	}
	return out
}

// view returns the data centres for readers outside the control goroutine, and the live VMs of each, most recently
// received first. For a data centre without known live VMs, it returns the VMs of the configuration.
func (r *remoteDataCentres) view(now time.Time, drained func(string) bool) ([]DataCentreState, map[string][]Member) {
	var out []DataCentreState
	live := map[string][]Member{}
	for _, name := range r.names() {
		d := r.known[name]
		out = append(out, DataCentreState{
			DataCentre: name,
			Reachable:  now.Sub(d.receivedAt) < dataCentreTimeout || now.Sub(d.reportedAt) < dataCentreTimeout,
			Drained:    d.report.Drained || drained("dataCentre/"+name),
			FreeTokens: d.report.FreeTokens,
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
func (d *remoteDataCentre) contactsByTime() []contact {
	out := make([]contact, 0, len(d.liveVMs))
	for _, c := range d.liveVMs {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b contact) int {
		return cmp.Or(b.receivedAt.Compare(a.receivedAt), cmp.Compare(a.member.vm.Name, b.member.vm.Name))
	})
	return out
}

// maxReportedLoadAge is the age up to which an endpoint's load counts towards the free tokens that are reported to other data
// centres.
const maxReportedLoadAge = 10 * time.Second

// dataCentreReports returns the reports for another VM, starting with the one about this data centre.
func (n *Node) dataCentreReports(now time.Time) []dataCentreWire {
	own := dataCentreWire{DataCentre: n.cfg.DataCentre, Drained: n.drained("dataCentre/" + n.cfg.DataCentre), FreeTokens: map[string]int{}}
	for name, l := range n.loads {
		if s, ok := n.specs[name]; ok && now.Sub(l.receivedAt) < maxReportedLoadAge && !n.drained("endpoint/"+name) {
			own.FreeTokens[s.Model] += max(0, l.load.FreeTokens)
		}
	}
	return append([]dataCentreWire{own}, n.dataCentres.reports(now)...)
}

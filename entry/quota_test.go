package entry

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// quotaModel is a model of two data centres and one customer. Each data centre has three lessors, two VMs that both act as
// the customer's owner, and two VMs that request quota shares from the owners in both data centres.
type quotaModel struct {
	t           *rapid.T
	now         time.Time
	lessors     map[string][]*Lessor[shareKey]
	owners      []*quotas // two in each data centre
	ids         []LesseeID
	vms         []*quotas // two in each data centre
	vmIDs       []LesseeID
	partitioned bool // no message passes between the data centres
	messages    []func()
}

const quotaTotal = 100

var (
	modelQuota       = quotaKey{"team", quotaConcurrent}
	modelDataCentres = []string{"jm-a", "jm-b"}
)

// newQuotas returns the initial state of the i-th owner or VM.
func (m *quotaModel) newQuotas(i int) *quotas {
	q, err := newQuotas(m.now, modelDataCentres[i/2])
	if err != nil {
		m.t.Fatal(err)
	}
	q.dataCentres, q.deploymentQuotas = modelDataCentres, map[string]Quota{modelQuota.Customer: {Concurrent: quotaTotal}}
	for name, full := range q.deploymentQuotas {
		q.localQuotas[name] = dataCentreQuota(name, full, q.dataCentre, q.dataCentres)
	}
	q.vmCount, q.inFleet = 2, true
	return q
}

func (m *quotaModel) restart(i int) {
	m.owners[i] = m.newQuotas(i)
	m.ids[i] = LesseeID{fmt.Sprint("owner", i), m.ids[i].Incarnation + 1}
}

func (m *quotaModel) restartVM(i int) {
	m.vms[i] = m.newQuotas(i)
	m.vmIDs[i] = LesseeID{fmt.Sprint("vm", i), m.vmIDs[i].Incarnation + 1}
}

// requestShares sends an owner's requests for the shares of the customer.
func (m *quotaModel) requestShares(i int) {
	q, lessee := m.owners[i], m.ids[i]
	for share, lessor := range m.lessors[q.dataCentre] {
		req := q.customerShares.Request(m.now, shareKey{customerResource(modelQuota.Customer), share}, 1)
		m.messages = append(m.messages, func() {
			if lease, ok := lessor.Lease(m.now, lessee, req); ok {
				m.messages = append(m.messages, func() { q.customerShares.Apply(m.now, lease) })
			}
		})
	}
}

func (m *quotaModel) returnShares(i int) {
	for share, lessor := range m.lessors[m.owners[i].dataCentre] {
		key := shareKey{customerResource(modelQuota.Customer), share}
		if sequence, ok := m.owners[i].customerShares.Release(key); ok {
			lessee := m.ids[i]
			m.messages = append(m.messages, func() { lessor.Return(m.now, lessee, key, sequence) })
		}
	}
}

// requestQuota sends a VM's requests for quota shares to one of the owners in each data centre.
func (m *quotaModel) requestQuota(vm, owner int, demand QuotaDemand) {
	v, lessee := m.vms[vm], m.vmIDs[vm]
	all := v.leaseRequests(m.now, modelQuota.Customer, demand, true)
	for d, dataCentre := range modelDataCentres {
		remote := dataCentre != v.dataCentre
		for _, req := range all[dataCentre] {
			m.messages = append(m.messages, func() {
				lease, ok := m.owners[2*d+owner%2].lease(m.now, lessee, remote, req)
				if ok && !(remote && m.partitioned) {
					m.messages = append(m.messages, func() {
						if !remote || !m.partitioned {
							v.applyLease(m.now, dataCentre, lease)
						}
					})
				}
			})
		}
	}
}

func (m *quotaModel) deliverFrom(from int) {
	for len(m.messages) > from {
		f := m.messages[from]
		m.messages = slices.Delete(m.messages, from, from+1)
		f()
	}
}

func (m *quotaModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(min(d, 250*time.Millisecond))
		for _, lessors := range m.lessors {
			for _, lessor := range lessors {
				lessor.RecordRunning(m.now)
			}
		}
		for _, q := range m.owners {
			q.lessor.RecordRunning(m.now)
		}
	}
}

// inUse returns the number of units that the given VMs may use in total.
func (m *quotaModel) inUse(vms ...*quotas) int {
	sum := 0
	for _, q := range vms {
		sum += q.heldUnits(m.now, modelQuota)
	}
	return sum
}

// Guards against quota shares of VMs in all data centres that together exceed the quota, because of two owners in a data
// centre, lost, late or duplicate messages, partitions, restarts or changing demand.
func TestQuotaSharesNeverExceedQuota(t *testing.T) {
	fullyLeased, changed, remote := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &quotaModel{t: t, now: time.Unix(0, 0), lessors: map[string][]*Lessor[shareKey]{},
			owners: make([]*quotas, 4), ids: make([]LesseeID, 4), vms: make([]*quotas, 4), vmIDs: make([]LesseeID, 4)}
		for i := range 2 * SharesPerResource {
			lessor, err := NewLessor[shareKey](ShareTimers(), m.now)
			if err != nil {
				t.Fatal(err)
			}
			lessor.SetLeasableUnits(m.now, shareKey{customerResource(modelQuota.Customer), i / 2}, 1, 0)
			m.lessors[modelDataCentres[i%2]] = append(m.lessors[modelDataCentres[i%2]], lessor)
		}
		for i := range m.owners {
			m.restart(i)
			m.restartVM(i)
		}
		index, pick, units := rapid.IntRange(0, 3), rapid.IntRange(0, 1), rapid.SampledFrom([]int{0, 0, 10, 30, quotaTotal, 2 * quotaTotal})
		demand := func(t *rapid.T) QuotaDemand {
			return QuotaDemand{Concurrent: units.Draw(t, "demand"), Running: units.Draw(t, "running") / 4}
		}
		used := map[int]bool{}
		check := func(t *rapid.T) int {
			n := m.inUse(m.vms...)
			if n > quotaTotal {
				t.Fatalf("VMs use %d units of %d", n, quotaTotal)
			}
			if m.inUse(m.vms[:2]...) > quotaTotal/2+quotaTotal/10 {
				remote++
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"":                     func(t *rapid.T) { check(t) },
			"advance":              func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
			"ask for shares":       func(t *rapid.T) { m.requestShares(index.Draw(t, "owner")) },
			"ask for quota shares": func(t *rapid.T) { m.requestQuota(index.Draw(t, "vm"), pick.Draw(t, "owner"), demand(t)) },
			"partition":            func(t *rapid.T) { m.partitioned = !m.partitioned },
			"deliver": func(t *rapid.T) {
				if len(m.messages) == 0 {
					t.Skip("no message")
				}
				i, fate := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "fate")
				f := m.messages[i]
				if fate != 1 {
					m.messages = slices.Delete(m.messages, i, i+1)
				}
				if fate != 0 {
					f()
				}
			},
			"serve": func(t *rapid.T) { // one owner in each data centre requests shares until they are usable, and the VMs request quota shares from it
				p := pick.Draw(t, "owner")
				m.partitioned = false
				for range 10 {
					from := len(m.messages)
					m.requestShares(p)
					m.requestShares(2 + p)
					m.deliverFrom(from)
					for v := range m.vms {
						m.requestQuota(v, p, demand(t))
						for range len(m.messages) - from {
							m.messages[from]()
							m.messages = slices.Delete(m.messages, from, from+1)
						}
						if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
							m.messages = m.messages[:from] // a VM whose quota share shrinks does not receive the answer
						}
						m.deliverFrom(from)
					}
					if check(t) > 9*quotaTotal/10 {
						fullyLeased++
						used[p] = true
					}
					m.advance(700 * time.Millisecond)
				}
			},
			"change": func(t *rapid.T) { // the owner changes right after it leased a quota share
				i := index.Draw(t, "owner")
				from := len(m.messages)
				m.requestQuota(index.Draw(t, "vm"), i, demand(t))
				m.deliverFrom(from)
				m.returnShares(i)
				m.requestShares(i ^ 1)
				m.deliverFrom(from)
			},
			"restartOwner": func(t *rapid.T) { m.restart(index.Draw(t, "owner")) },
			"restartVM": func(t *rapid.T) { // only after the VM's leases have expired: a paused VM that continues to use them is the worse case
				i := index.Draw(t, "vm")
				if v := m.vms[i]; m.inUse(v) == v.ownReserve(v.localQuotas[modelQuota.Customer].Concurrent) {
					m.restartVM(i)
				}
			},
		})
		if len(used) > 1 {
			changed++
		}
	})
	t.Logf("fully leased %d times, by two owners in %d runs, more than its own share in one data centre %d times", fullyLeased, changed, remote)
	if fullyLeased == 0 || changed == 0 || remote == 0 {
		t.Error("the model does not reach the states that it has to check")
	}
}

// Guards against data centres' shares that do not add up to the quota, and against an owner that gives a VM more than
// its fair share or leaves units unused.
func TestQuotaAllocation(t *testing.T) {
	dataCentres := []string{"jm-a", "jm-b", "jm-c"}
	q := Quota{TokensPerSecond: 1000, Burst: 5, Concurrent: 1}
	var sum Quota
	for _, d := range dataCentres {
		local := dataCentreQuota("team", q, d, dataCentres)
		sum = Quota{sum.TokensPerSecond + local.TokensPerSecond, sum.Burst + local.Burst, sum.Concurrent + local.Concurrent}
	}
	if diff := cmp.Diff(q, sum); diff != "" {
		t.Error(diff)
	}
	now := time.Unix(0, 0)
	for _, tt := range []struct {
		name          string
		at            time.Duration
		total         int
		demands, want []int
		remote        int // how many of the VMs, the last in demands, are in other data centres
	}{
		{"single VM", 0, 100, []int{0}, []int{100}, 0},
		{"all fit", 0, 100, []int{10, 30}, []int{40, 60}, 0},
		{"fair shares", 0, 100, []int{10, 80, 90}, []int{10, 45, 45}, 0},
		{"fewer units than VMs, first rotation", 0, 2, []int{1, 1, 1}, []int{0, 1, 1}, 0},
		{"fewer units than VMs, next rotation", demandRotationInterval, 2, []int{1, 1, 1}, []int{1, 1, 0}, 0},
		{"one unit for the only VM with demand", 0, 1, []int{0, 1, 0}, []int{0, 1, 0}, 0},
		{"nothing usable", 0, 0, []int{5, 5}, []int{0, 0}, 0},
		{"other data centre", 0, 100, []int{20, 50}, []int{50, 50}, 1},
		{"no units left for another data centre", 0, 100, []int{80, 100, 90}, []int{50, 50, 0}, 1},
		{"only other data centres", 0, 100, []int{20, 90}, []int{20, 80}, 2},
	} {
		d := demandByVM{}
		now := now.Add(tt.at)
		for i, units := range tt.demands {
			d[LesseeID{fmt.Sprint(i), 1}] = reportedDemand{units, now, tt.remote > 0 && i >= len(tt.demands)-tt.remote}
		}
		var got []int
		for i := range tt.demands {
			got = append(got, d.allocation(now, tt.total, LesseeID{fmt.Sprint(i), 1}))
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
}

// Guards against VMs that get no fair quota share, and against VMs without even their reserve while the customer's owner
// changes.
func TestQuotaBetweenVMs(t *testing.T) { runInBubble(t, testQuotaBetweenVMs) }

func testQuotaBetweenVMs(t *testing.T) {
	f := newTestFleet(t, "jm-a/1", "jm-a/2")
	for i := range f.vms {
		n := f.start(i, nil, WithFirstStart(), WithQuotaDemand(func(string) QuotaDemand { return QuotaDemand{TokensPerSecond: 600, Concurrent: 4} }))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 900, Burst: 1800, Concurrent: 6}})
	}
	eventually(t, "both VMs have their fair share", func() bool {
		a, okA := f.nodes[0].QuotaShare("team")
		b, okB := f.nodes[1].QuotaShare("team")
		want := QuotaShare{TokensPerSecond: 450, Burst: 900, Concurrent: 3}
		a.Expires, b.Expires = time.Time{}, time.Time{}
		return okA && okB && a == want && b == want
	})
	if share, ok := f.nodes[0].QuotaShare("nobody"); ok {
		t.Errorf("quota share of an unknown customer: %+v", share)
	}
	owner, other := f.nodes[0], f.nodes[1]
	if rendezvousOrder(customerResource("team"), []string{"jm-a/1", "jm-a/2"})[0] == other.cfg.VMName {
		owner, other = other, owner
	}
	owner.Close()
	time.Sleep(QuotaShareTimers().LenderLease)
	share, ok := other.QuotaShare("team")
	share.Expires = time.Time{}
	if want := (QuotaShare{TokensPerSecond: 112, Burst: 224, Concurrent: 1}); !ok || share != want {
		t.Errorf("quota share after the owner stopped is %+v, want the reserve %+v", share, want)
	}
}

// Guards against a unit that stays on a VM without demand, although the customer's limit of concurrent requests is lower
// than the number of VMs and another VM needs the unit.
func TestSmallQuotaMoves(t *testing.T) { runInBubble(t, testSmallQuotaMoves) }

func testSmallQuotaMoves(t *testing.T) {
	f := newTestFleet(t, "jm-a/1", "jm-a/2")
	var busy atomic.Int32 // index of the VM that has requests
	for i := range f.vms {
		n := f.start(i, nil, WithFirstStart(), WithQuotaDemand(func(string) QuotaDemand {
			if int(busy.Load()) == i {
				return QuotaDemand{TokensPerSecond: 10, Concurrent: 1}
			}
			return QuotaDemand{}
		}))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 900, Burst: 1800, Concurrent: 1}})
	}
	for _, i := range []int{0, 1, 0} {
		busy.Store(int32(i))
		since := time.Now()
		eventually(t, fmt.Sprintf("VM %d has the unit", i+1), func() bool {
			f.nodes[1-i].QuotaShare("team") // a VM that still requests a quota share but has no demand
			share, ok := f.nodes[i].QuotaShare("team")
			return ok && share.Concurrent == 1 && share.TokensPerSecond > 0
		})
		t.Logf("VM %d has the unit after %v", i+1, time.Since(since))
	}
}

// Guards against a customer that is limited to one data centre's share while the other is idle, against a data centre that
// does not get its own share back when it needs it, and against units that stay leased across a partition.
func TestQuotaBetweenDataCentres(t *testing.T) { runInBubble(t, testQuotaBetweenDataCentres) }

func testQuotaBetweenDataCentres(t *testing.T) {
	f := newTestFleet(t, "jm-a/1", "jm-a/2", "jm-b/1", "jm-b/2")
	var demands [4]atomic.Int32 // tokens per second by VM
	for i := range f.vms {
		n := f.start(i, nil, WithFirstStart(), WithQuotaDemand(func(string) QuotaDemand { return QuotaDemand{TokensPerSecond: int(demands[i].Load())} }))
		n.SetQuotas(map[string]Quota{"team": {TokensPerSecond: 1600, Burst: 3200, Concurrent: 6}})
	}
	rates := func(vms ...int) int {
		sum := 0
		for _, i := range vms {
			share, _ := f.nodes[i].QuotaShare("team")
			sum += share.TokensPerSecond
		}
		return sum
	}
	demands[0].Store(2000)
	// Each of four VMs has a reserve of 100, and jm-a/2 has no requests of the customer.
	eventually(t, "one VM has the whole quota except for the other VMs' reserves", func() bool { return rates(0) == 1300 })
	demands[2].Store(2000)
	eventually(t, "jm-b has its share again", func() bool { return rates(2) == 700 && rates(0) == 700 })
	demands[2].Store(0)
	eventually(t, "jm-b leases units to jm-a again", func() bool { return rates(0) > 1200 })
	f.setIsolated("jm-b/1", true)
	f.setIsolated("jm-b/2", true)
	eventually(t, "jm-a is limited to its own share", func() bool { return rates(0) == 700 })
	f.setIsolated("jm-b/1", false)
	f.setIsolated("jm-b/2", false)
	eventually(t, "jm-b leases units to jm-a after the partition", func() bool { return rates(0) > 1200 })
}

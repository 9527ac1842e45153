package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcrestpath/platform/platformtest"
)

// forceWithin is the time within which a change is in force on a VM that has had no fault for as long: two seconds, and five
// more while the store is unstable.
const forceWithin = 7 * time.Second

// checker compares what callers and endpoints see with the promises.
type checker struct {
	s      *site
	mu     sync.Mutex
	report Report
	asked  map[string]asked
	routes map[string]int // highest further route that each boot of a VM served
}

// asked is one request that a client sent and what it was told.
type asked struct {
	kind   string
	key    string
	body   string
	status int // 0 where the connection broke
}

func newChecker(s *site) *checker {
	return &checker{s: s, asked: map[string]asked{}, routes: map[string]int{}}
}

func (c *checker) broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Broken = append(c.report.Broken, fmt.Sprintf(format, args...))
	c.s.timeline.add("BROKEN: "+format, args...)
}

// client sends requests until stop closes, over connections that it keeps.
func (c *checker) client(i int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(c.s.cfg.Seed, 100+uint64(i)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
		}
		v := c.s.vms[random.IntN(len(c.s.vms))]
		kind := []string{"read", "book", "book", "stream", "route"}[random.IntN(5)]
		c.ask(client, v, kind, fmt.Sprintf("%d-%d", i, n), random)
	}
}

// ask sends one request and checks its answer.
func (c *checker) ask(client *http.Client, v *vm, kind, id string, random *rand.Rand) {
	c.s.mu.Lock()
	key := c.s.keys[random.IntN(len(c.s.keys))]
	revokedAt, revoked := c.s.revoked[key]
	route := c.s.routes - 1
	c.s.mu.Unlock()
	path := kind
	if kind == "route" {
		if route < 0 {
			return
		}
		path = fmt.Sprint("r", route)
	}
	boot, _ := v.boot()
	body := "body of " + id
	begun := time.Now()
	status, answer, customer, whole := c.exchange(client, v, path, id, key, body)
	c.mu.Lock()
	c.report.Requests++
	c.asked[id] = asked{kind: kind, key: key, body: body, status: status}
	if status == http.StatusOK && whole {
		c.report.Served++
	}
	c.mu.Unlock()
	bootAfter, calm := v.boot()
	if status == http.StatusOK && whole {
		want := platformtest.Body(body)
		if kind == "stream" {
			want = wholeStream()
		}
		if answer != want {
			c.broken("request %s got %q, want %q", id, answer, want)
		}
		if customer != id {
			c.broken("request %s got the answer of %q", id, customer)
		}
	}
	if revoked && calm > forceWithin && begun.Sub(revokedAt) > forceWithin && status != http.StatusUnauthorized && status != 0 {
		c.broken("request %s with a key that was revoked %v before got %d from %s", id, begun.Sub(revokedAt), status, v.name)
	}
	if !revoked && status == http.StatusUnauthorized && key == "key-0" {
		c.broken("request %s with a valid key got 401 from %s", id, v.name)
	}
	if kind == "route" && boot == bootAfter {
		c.checkRoute(fmt.Sprint(v.name, "/", boot), route, status, id)
	}
}

// checkRoute says whether a boot of a VM goes back to an older configuration.
func (c *checker) checkRoute(boot string, route, status int, id string) {
	c.mu.Lock()
	served := c.routes[boot]
	if status == http.StatusOK {
		c.routes[boot] = max(served, route+1)
	}
	c.mu.Unlock()
	if status == http.StatusNotFound && route < served {
		c.broken("request %s: %s does not know route %d, and served %d before", id, boot, route, served-1)
	}
}

// exchange returns the status, 0 for a broken connection, the body, the ID in the answer and whether the answer is whole.
func (c *checker) exchange(client *http.Client, v *vm, path, id, key, body string) (int, string, string, bool) {
	req, err := platformtest.NewRequest(c.s.callers(v), host, "/"+path+"/1", id, key, body)
	if err != nil {
		panic(err) // the parts are the soak's own
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), platformtest.AnswerID(resp), err == nil
}

func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= platformtest.Events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// serveAll checks that every VM serves after the faults.
func (c *checker) serveAll() {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for _, v := range c.s.vms {
		status := 0
		for try := range 5 {
			if status, _, _, _ = c.exchange(client, v, "read", fmt.Sprint("last-", v.name, try), "key-0", "x"); status == http.StatusOK {
				break
			}
			time.Sleep(settle)
		}
		if status != http.StatusOK {
			c.broken("%s answers %d after the faults", v.name, status)
		}
	}
}

// judge compares the runs that endpoints saw with what callers were told.
func (c *checker) judge() {
	runs := map[string]int{}
	teams := map[string]string{}
	for i, key := range c.s.keys {
		teams[key] = fmt.Sprint("team-", i)
	}
	for _, r := range c.s.journal.Runs() {
		runs[r.ID]++
		a, ok := c.asked[r.ID]
		switch {
		case strings.HasPrefix(r.ID, "last-"):
		case !ok:
			c.broken("%s ran %q, which no client sent", r.Endpoint, r.ID)
		case r.Body != a.body:
			c.broken("%s ran request %s with body %q", r.Endpoint, r.ID, r.Body)
		case r.Customer != teams[a.key]:
			c.broken("%s ran request %s for %q, whose key is that of %q", r.Endpoint, r.ID, r.Customer, teams[a.key])
		}
	}
	for id, a := range c.asked {
		if a.kind == "book" && runs[id] > 1 {
			c.broken("request %s may run once and ran %d times", id, runs[id])
		}
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if a.kind == "book" && promised && runs[id] > 0 {
			c.broken("request %s was told that it did not run, and ran", id)
		}
	}
	for _, e := range c.s.endpoints {
		for _, r := range c.s.journal.Runs() {
			if r.Endpoint == e.ID && !e.draining.IsZero() && r.At.Sub(e.draining) > forceWithin {
				c.broken("%s got request %s %v after it drained", e.ID, r.ID, r.At.Sub(e.draining))
			}
		}
	}
}

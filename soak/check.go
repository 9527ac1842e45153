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

// applyWithin is the time limit for a VM to apply a configuration change, provided that the VM has been free of faults for that long.
// It is 2 s, plus 5 s while the store is unstable.
const applyWithin = 7 * time.Second

// checker sends requests and checks the guarantees of the gateways. It compares the requests and responses of the clients with the
// requests that endpoints received.
type checker struct {
	testbed      *testbed
	mu           sync.Mutex
	report       Report
	requests     map[string]sentRequest // by request ID
	servedRoutes map[string]int         // by VM and boot: number of extra routes up to the highest one served
	cut, notCut  tally                  // requests that VMs got while paths of some had been cut for cutStabilityWindow
}

// sentRequest is one request that a client sent, with the status of its response.
type sentRequest struct {
	kind   string // read, book, stream or route
	key    string
	body   string
	status int // 0 if the connection failed
}

func newChecker(s *testbed) *checker {
	return &checker{testbed: s, requests: map[string]sentRequest{}, servedRoutes: map[string]int{}}
}

func (c *checker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, args...))
	c.testbed.timeline.add("VIOLATION: "+format, args...)
}

// runClient sends requests to random VMs over keep-alive connections until stop is closed.
func (c *checker) runClient(i int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(c.testbed.cfg.Seed, 100+uint64(i)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(40)) * time.Millisecond):
		}
		v := c.testbed.vms[random.IntN(len(c.testbed.vms))]
		kind := []string{"read", "book", "book", "stream", "route"}[random.IntN(5)]
		c.sendRequest(client, v, kind, fmt.Sprintf("%d-%d", i, n), random)
	}
}

// sendRequest sends one request and checks the response.
func (c *checker) sendRequest(client *http.Client, v *vm, kind, id string, random *rand.Rand) {
	c.testbed.mu.Lock()
	key := c.testbed.keys[random.IntN(len(c.testbed.keys))]
	revokedAt, revoked := c.testbed.revokedAt[key]
	route := c.testbed.extraRoutes - 1
	c.testbed.mu.Unlock()
	path := kind
	if kind == "route" {
		if route < 0 {
			return
		}
		path = fmt.Sprint("r", route)
	}
	boot, _ := v.bootState()
	judged, cut := c.judgesCut(v, key, kind)
	body := "body of " + id
	sentAt := time.Now()
	status, answer, attemptID, complete := c.exchange(client, v, path, id, key, body)
	c.mu.Lock()
	c.report.Requests++
	c.requests[id] = sentRequest{kind: kind, key: key, body: body, status: status}
	if status == http.StatusOK && complete {
		c.report.Served++
	}
	c.mu.Unlock()
	bootAfter, stableFor := v.bootState()
	if judged && boot == bootAfter {
		c.countCut(cut, status == http.StatusOK && complete)
	}
	if status == http.StatusOK && complete {
		want := platformtest.ResponseBody(body)
		if kind == "stream" {
			want = completeStream()
		}
		if answer != want {
			c.reportViolation("request %s got %q, want %q", id, answer, want)
		}
		if attemptID != id {
			c.reportViolation("request %s got the answer of %q", id, attemptID)
		}
	}
	if revoked && stableFor > applyWithin && sentAt.Sub(revokedAt) > applyWithin && status != http.StatusUnauthorized && status != 0 {
		c.reportViolation("request %s with a key that was revoked %v before got %d from %s", id, sentAt.Sub(revokedAt), status, v.name)
	}
	// Only key-0 is never revoked. Any other key may have been revoked after the test of revokedAt.
	if !revoked && status == http.StatusUnauthorized && key == "key-0" {
		c.reportViolation("request %s with a valid key got 401 from %s", id, v.name)
	}
	if kind == "route" && boot == bootAfter {
		c.checkRoute(fmt.Sprint(v.name, "/", boot), route, status, id)
	}
}

// cutStabilityWindow is the time from the beginning of a cut from which the callers of the VM must be served.
const cutStabilityWindow = 3 * time.Second

// tally counts requests.
type tally struct{ served, sent int }

// judgesCut reports whether a request sent now shows how callers are served during a cut, and whether its VM is cut off. It does while the
// paths of some VM have been cut for cutStabilityWindow and the request's own VM has no other fault.
func (c *checker) judgesCut(v *vm, key, kind string) (judged, cut bool) {
	if key != "key-0" || kind == "route" { // other keys and routes may be unknown
		return false, false
	}
	now := time.Now()
	if _, stableFor := v.bootState(); stableFor < cutStabilityWindow {
		return false, false
	}
	own := v.cutFor(now)
	if own > 0 {
		return own >= cutStabilityWindow, true
	}
	for _, w := range c.testbed.vms {
		if w.cutFor(now) >= cutStabilityWindow {
			return true, false
		}
	}
	return false, false
}

// countCut counts a request that judgesCut selected.
func (c *checker) countCut(cut, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.notCut
	if cut {
		t = &c.cut
	}
	if t.sent++; served {
		t.served++
	}
}

// checkCuts reports a violation if VMs whose paths were cut served less than two thirds as many of their requests as the others, and more
// than ten requests and one in fifty failed there.
func (c *checker) checkCuts() {
	c.testbed.timeline.add("during cuts: VMs that are cut off served %d of %d, the others %d of %d", c.cut.served, c.cut.sent, c.notCut.served, c.notCut.sent)
	failed := c.cut.sent - c.cut.served
	if failed > 10+(c.cut.sent+c.notCut.sent)/50 && 3*c.cut.served*c.notCut.sent < 2*c.notCut.served*c.cut.sent {
		c.reportViolation("VMs that lost their paths to endpoints served %d of %d requests, the others %d of %d", c.cut.served, c.cut.sent, c.notCut.served, c.notCut.sent)
	}
}

// checkRoute reports a violation if a VM answers 404 for a route although the same boot has served this route or a later one. The VM
// has then returned to an older configuration.
func (c *checker) checkRoute(boot string, route, status int, id string) {
	c.mu.Lock()
	servedRoutes := c.servedRoutes[boot]
	if status == http.StatusOK {
		c.servedRoutes[boot] = max(servedRoutes, route+1)
	}
	c.mu.Unlock()
	if status == http.StatusNotFound && route < servedRoutes {
		c.reportViolation("request %s: %s does not know route %d, but served route %d before", id, boot, route, servedRoutes-1)
	}
}

// exchange sends one request. It returns the status (0 if the connection failed), the body, the attempt ID in the response and
// whether the body is complete.
func (c *checker) exchange(client *http.Client, v *vm, path, id, key, body string) (int, string, string, bool) {
	req, err := platformtest.NewRequest(c.testbed.callerAddress(v), host, "/"+path+"/1", id, key, body)
	if err != nil {
		panic(err) // the checker itself generates all parts of the request
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), platformtest.ResponseAttemptID(resp), err == nil
}

// completeStream returns the body of a complete response on the stream route.
func completeStream() string {
	var b strings.Builder
	for i := 1; i <= platformtest.StreamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// checkAllServe checks that every VM serves requests after the last fault. The IDs of these requests begin with "last-".
func (c *checker) checkAllServe() {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for _, v := range c.testbed.vms {
		status := 0
		for try := range 5 {
			if status, _, _, _ = c.exchange(client, v, "read", fmt.Sprint("last-", v.name, try), "key-0", "x"); status == http.StatusOK {
				break
			}
			time.Sleep(settleTime)
		}
		if status != http.StatusOK {
			c.reportViolation("%s answers with status %d after the last fault", v.name, status)
		}
	}
}

// checkRuns compares the requests that endpoints executed with the requests and responses of the clients.
func (c *checker) checkRuns() {
	runs := map[string]int{}
	customers := map[string]string{}
	for i, key := range c.testbed.keys {
		customers[key] = fmt.Sprint("team-", i)
	}
	for _, r := range c.testbed.runLog.Runs() {
		runs[r.AttemptID]++
		sent, ok := c.requests[r.AttemptID]
		switch {
		case strings.HasPrefix(r.AttemptID, "last-"): // sent by checkAllServe, not recorded
		case !ok:
			c.reportViolation("%s ran %q, which no client sent", r.Endpoint, r.AttemptID)
		case r.Body != sent.body:
			c.reportViolation("%s ran request %s with body %q", r.Endpoint, r.AttemptID, r.Body)
		case r.Customer != customers[sent.key]:
			c.reportViolation("%s ran request %s for %q, whose key is that of %q", r.Endpoint, r.AttemptID, r.Customer, customers[sent.key])
		}
	}
	for id, sent := range c.requests {
		if sent.kind == "book" && runs[id] > 1 {
			c.reportViolation("request %s may run once and ran %d times", id, runs[id])
		}
		refused := sent.status == http.StatusServiceUnavailable || sent.status == http.StatusTooManyRequests
		if sent.kind == "book" && refused && runs[id] > 0 {
			c.reportViolation("request %s was refused as not run, but ran", id)
		}
	}
	for _, e := range c.testbed.endpoints {
		for _, r := range c.testbed.runLog.Runs() {
			if r.Endpoint == e.ID && !e.drainingSince.IsZero() && r.StartedAt.Sub(e.drainingSince) > applyWithin {
				c.reportViolation("%s got request %s %v after its drain began", e.ID, r.AttemptID, r.StartedAt.Sub(e.drainingSince))
			}
		}
	}
}

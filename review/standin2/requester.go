package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requester sends requests to VMs and records the answers.
type requester struct {
	b      *bed
	client *http.Client
	wg     sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int // answers by status, 0 for none
}

func newRequester(b *bed) *requester {
	return &requester{b: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}, statuses: map[int]int{}}
}

// call is one attempt of a requester.
type call struct {
	vm           *vm
	method, path string
	body         string
	header       map[string]string
	limit        time.Duration
}

// send sends the call in the background. Its Attempt-Id begins with the name of the VM and ends with the number.
func (q *requester) send(number int, c call) {
	id := fmt.Sprintf("%s.%06x", c.vm.name, number)
	q.wg.Go(func() {
		req, err := http.NewRequest(c.method, "http://"+c.vm.address+c.path, strings.NewReader(c.body))
		if err != nil {
			return
		}
		req.Host, req.GetBody = host, nil
		req.Header.Set("Attempt-Id", id)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Deadline-Remaining", fmt.Sprint(c.limit.Milliseconds()))
		for name, value := range c.header {
			req.Header.Set(name, value)
		}
		status, got := 0, "no answer"
		resp, err := q.client.Do(req)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				status, got = resp.StatusCode, fmt.Sprint(resp.StatusCode)
			}
			if err == nil && status != http.StatusOK {
				got += " " + string(body)
			}
		}
		q.mu.Lock()
		q.statuses[status]++
		q.mu.Unlock()
		q.b.logf("answer %s %s", id, got)
	})
}

// vmOf returns the VM that an Attempt-Id names.
func vmOf(id string) string { name, _, _ := strings.Cut(id, "."); return name }

// pace calls f so many times a second until the time.
func pace(perSecond float64, until time.Time, f func(i int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; time.Now().Before(until); i++ {
		f(i)
		<-ticker.C
	}
}

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Events of an answer, and the pause between two of them.
const (
	eventsInQ  = 4
	eventPause = 15 * time.Millisecond
)

// writeStream answers a request with a stream of events, from the one after Last-Event-Id on.
func writeStream(wk *worker, w http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	w.Header().Set("Response-Seal", "seal."+wk.id)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // a missing ID gives 0: the stream starts with its first event
	for i := from + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}

package peer_test

import (
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"goldcrestpath/http1/http1test"
	"goldcrestpath/peer"
)

// TestEndlessRecords guards against a peer whose response has no end: neither its size nor its time is unlimited.
func TestEndlessRecords(t *testing.T) {
	for name, write := range map[string]func(w http.ResponseWriter, block []byte) error{
		"plain": func(w http.ResponseWriter, block []byte) error { _, err := w.Write(block); return err },
		"slow": func(w http.ResponseWriter, block []byte) error {
			_, err := w.Write(block[:1])
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			return err
		},
		"compressed": func(w http.ResponseWriter, block []byte) error {
			z := gzip.NewWriter(w)
			for {
				if _, err := z.Write(block); err != nil {
					return err
				}
			}
		},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if name == "compressed" {
				w.Header().Set("Content-Encoding", "gzip")
			}
			block := make([]byte, 64<<10)
			for write(w, block) == nil {
			}
		}))
		f := peer.NewFetcher()
		if _, _, _, err := f.Fetch(context.Background(), s.Listener.Addr().String(), 2, 3, 5); err == nil {
			t.Errorf("%s: a fetch of an endless response succeeds", name)
		}
		f.Close()
		s.Close()
	}
}

// TestFetchMalformedHead guards against records that are taken from a response with a malformed head.
func TestFetchMalformedHead(t *testing.T) {
	const noRecords = "\xa3\x01\x80\x02\x05\x03\x00" // CBOR {1: [], 2: 5, 3: 0}
	f := peer.NewFetcher()
	defer f.Close()
	http1test.CheckClient(t, noRecords, func(t *testing.T, address string) map[string]error {
		_, _, _, err := f.Fetch(t.Context(), address, 2, 3, 5)
		return map[string]error{"Fetch": err}
	})
}

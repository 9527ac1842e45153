package standin_test

import (
	"testing"

	"goldcrestpath/standin"
)

// TestRelay guards against a relay that forwards data while it is blocked, or loses the data that arrives in that time.
func TestRelay(t *testing.T) {
	log, err := standin.NewLog(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	relay, err := standin.NewRelay(anyPort, log.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	appendRecord := func() int {
		return call(t, "POST", relay.Address(), "/log/append", map[string]any{"records": [][]byte{[]byte("a")}}, nil)
	}
	if status := appendRecord(); status != 200 {
		t.Fatalf("append answered %d", status)
	}
	relay.SetBlocked(true)
	status := make(chan int)
	go func() { status <- appendRecord() }()
	select {
	case s := <-status:
		t.Fatalf("a blocked relay forwarded an answer, status %d", s)
	default:
	}
	if n := log.Appends(); n != 1 {
		t.Errorf("%d appends reached the log, want 1", n)
	}
	relay.SetBlocked(false)
	if s := <-status; s != 200 || log.Appends() != 2 {
		t.Errorf("after unblocking: status %d, %d appends; want 200 and 2", s, log.Appends())
	}
}

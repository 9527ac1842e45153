package oplog

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for rapid unless -rapid.seed is given, so that every CI run draws the same cases. It also fails
// the run if goroutines are left over.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		f.Value.Set("1")
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		code = 1
	}
	os.Exit(code)
}

package oplog

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of rapid, so that every run of CI draws the same cases. Another seed is given by -rapid.seed.
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

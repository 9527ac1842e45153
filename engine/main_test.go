package engine_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests, so that every run has the same result; -rapid.seed overrides it. It also
// guards against goroutines that outlive their client.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

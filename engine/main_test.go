package engine_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that every run returns the same verdict. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

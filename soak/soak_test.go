package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"goldcrestpath/soak"
)

// regressions holds the seeds of earlier runs with violations, each with its cause.
var regressions = []uint64{}

// build builds a command of this module and returns the path of the binary.
func build(t *testing.T, name string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", program, "goldcrestpath/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// check runs the fixed seed and the seeds of earlier failures.
func check(t *testing.T, cfg soak.Config) {
	t.Helper()
	for _, seed := range append([]uint64{1}, regressions...) {
		cfg.Dir, cfg.Seed = t.TempDir(), seed
		r, err := soak.Run(cfg)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %v", seed, r)
		if len(r.Violations) > 0 || r.Served == 0 {
			t.Errorf("seed %d: %v", seed, r)
		}
	}
}

// TestSoak guards against violations of the guarantees to callers and endpoints under overlapping faults. It runs a fixed seed and
// the seeds of earlier failures for a short time; goldlab soak runs longer.
func TestSoak(t *testing.T) {
	check(t, soak.Config{Program: build(t, "goldcrest"), Duration: 8 * time.Second, VMs: 3, Endpoints: 5, Clients: 12})
}

// TestSoakWithCuts is like TestSoak, and VMs lose their paths to all endpoints, in each way. Their callers must be served nearly as well as
// others.
func TestSoakWithCuts(t *testing.T) {
	check(t, soak.Config{Program: build(t, "goldlab"), Cuts: true, Duration: 15 * time.Second, VMs: 4, Endpoints: 5, Clients: 16})
}

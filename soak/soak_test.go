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

// TestSoak guards against violations of the guarantees to callers and endpoints under overlapping faults. It runs a fixed seed and
// the seeds of earlier failures for a short time; goldlab soak runs longer.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "goldcrest")
	if out, err := exec.Command("go", "build", "-o", program, "goldcrestpath/cmd/goldcrest").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range append([]uint64{1}, regressions...) {
		r, err := soak.Run(soak.Config{
			Program: program, Dir: t.TempDir(), Seed: seed, Duration: 8 * time.Second, VMs: 3, Endpoints: 5, Clients: 12,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %v", seed, r)
		if len(r.Violations) > 0 || r.Served == 0 {
			t.Errorf("seed %d: %v", seed, r)
		}
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFitLine guards against a wrong slope, intercept or residual, from which docs/CAPACITY.md extrapolates.
func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		points []point
		want   [3]float64
	}{
		{nil, [3]float64{}},
		{[]point{{2, 5}}, [3]float64{0, 5, 0}},
		{[]point{{0, 1}, {1, 3}, {2, 5}}, [3]float64{2, 1, 0}},
		{[]point{{0, 1}, {0, 3}, {2, 1}, {2, 3}}, [3]float64{0, 2, 1}},
	} {
		var got [3]float64
		got[0], got[1], got[2] = fitLine(c.points)
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("line through %v: %s", c.points, d)
		}
	}
}

// TestMeasureMesh guards against a measurement that reports no processor time or no traffic, with and without simulated members.
func TestMeasureMesh(t *testing.T) {
	for _, cfg := range []meshConfig{
		{members: 3, endpoints: 3, customers: 2, grantRate: 50, heldGrants: 2, duration: 300 * time.Millisecond},
		{members: 1, simulatedMembers: 9, endpoints: 30, customers: 2, heldGrants: 5, remoteVMs: 6, duration: 300 * time.Millisecond},
	} {
		c, err := measureMesh(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		if c.cpuPercent <= 0 || c.bytesPerSecond <= 0 {
			t.Errorf("%+v: measured nothing: %+v", cfg, c)
		}
	}
}

// BenchmarkDecision measures the decision on one request at the design size, with the endpoints of a data centre spread over four
// models and with all of them serving one model. The target is 20 us with four models.
func BenchmarkDecision(b *testing.B) {
	for _, models := range []int{designModels, 1} {
		b.Run(fmt.Sprint("models=", models), func(b *testing.B) {
			call, err := decisionCall(designEndpoints, models, rand.New(rand.NewPCG(1, 0)))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
		})
	}
}

// BenchmarkMembersTick measures the membership work of one control tick. A VM runs 20 control ticks per second.
func BenchmarkMembersTick(b *testing.B) {
	m := newMembers(designMembers, rand.New(rand.NewPCG(1, 0)))
	b.ReportAllocs()
	for b.Loop() {
		m.Tick(time.Now())
	}
}

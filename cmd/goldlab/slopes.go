package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Design size of a deployment; see section 2.1 of docs/design.md. Its 2,200 VMs and 10,000 engines are spread over seven data
// centres. Each data centre has 314 VMs (designMembers) and about 1,430 endpoints (designEndpoints).
const (
	designVMs       = 2_200
	designMembers   = 314
	designEndpoints = 1_430
	designEngines   = 10_000
	designCustomers = 320
	designModels    = 4
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the control-plane overhead of one entry VM by the number of members, endpoints, customers, grants, requests and configuration changes",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of the endpoints and IDs"},
			&cli.FloatFlag{Name: "seconds", Value: 1, Usage: "duration of each measurement of running VMs in seconds"},
			&cli.StringFlag{Name: "only", Usage: "`GROUP` of measurements to run instead of all: mesh, large, calls or path"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for slopes.json"},
		},
		Action: runSlopes,
	}
}

// slopeGroups lists the groups of measurements. Each group has its own method of measurement.
var slopeGroups = []struct {
	name string
	run  func(ctx context.Context, duration time.Duration, seed uint64) ([]slope, error)
}{
	{"mesh", meshSlopes},
	{"large", largeSlopes},
	{"calls", callSlopes},
	{"path", pathSlopes},
}

// runSlopes runs the measurements and prints the fitted slopes.
func runSlopes(ctx context.Context, cmd *cli.Command) error {
	duration, err := loadDuration(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	var all []slope
	known := cmd.String("only") == ""
	for _, group := range slopeGroups {
		if only := cmd.String("only"); only != "" && only != group.name {
			continue
		}
		known = true
		fmt.Fprintf(os.Stderr, "slopes: %s\n", group.name)
		slopes, err := group.run(ctx, duration, cmd.Uint64("seed"))
		if err != nil {
			return errors.Wrap(err, group.name)
		}
		all = append(all, slopes...)
	}
	if !known {
		return errors.Errorf("--only %s: allowed are mesh, large, calls and path", cmd.String("only"))
	}
	writeSlopes(cmd.Root().Writer, all)
	dir := cmd.String("out")
	if dir == "" {
		return nil
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "slopes.json"), append(data, '\n'), 0o644)
}

// sweep measures one mesh of VMs for each size and fits lines to processor time, traffic and memory.
func sweep(ctx context.Context, name, size string, sizes []int, configure func(int) meshConfig) ([]slope, error) {
	var cpu, bytes, heap []point
	for _, x := range sizes {
		c, err := measureMesh(ctx, configure(x))
		if err != nil {
			return nil, errors.Wrapf(err, "%s, %d %s", name, x, size)
		}
		cpu = append(cpu, point{float64(x), c.cpuPercent})
		bytes = append(bytes, point{float64(x), c.bytesPerSecond})
		heap = append(heap, point{float64(x), c.heapKB})
	}
	return []slope{newSlope(name, size, "% of a core", cpu), newSlope(name, size, "bytes/s", bytes), newSlope(name, size, "KB", heap)}, nil
}

// meshSlopes measures small numbers of VMs that all run in this process. Costs are averages over these VMs.
func meshSlopes(ctx context.Context, duration time.Duration, seed uint64) ([]slope, error) {
	base := meshConfig{members: 6, duration: duration, seed: seed}
	var all []slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		set        func(*meshConfig, int)
	}{
		{"members alone", "member", []int{3, 6, 12, 24}, func(c *meshConfig, x int) { c.members = x }},
		{"owned endpoints, 6 VMs", "endpoint owned by a VM", []int{0, 4, 8, 16}, func(c *meshConfig, x int) { c.endpoints = x * c.members }},
		{"grants, 6 VMs", "grant/s of a VM", []int{0, 25, 50, 100}, func(c *meshConfig, x int) { c.endpoints, c.grantRate = 24, float64(x) }},
		{"grants in use, 6 VMs", "grant held by a VM", []int{0, 100, 200, 400}, func(c *meshConfig, x int) { c.endpoints, c.heldGrants = 24, x }},
		{"customers, 6 VMs", "active customer", []int{0, 80, 160, 320}, func(c *meshConfig, x int) { c.customers = x }},
		{"configuration, 6 VMs", "change/s", []int{1, 5, 10, 20}, func(c *meshConfig, x int) { c.configChangeRate = x }},
	} {
		slopes, err := sweep(ctx, s.name, s.size, s.sizes, func(x int) meshConfig {
			cfg := base
			s.set(&cfg, x)
			return cfg
		})
		if err != nil {
			return nil, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}

// largeSlopes measures one VM in a data centre of simulated members up to the design size: without load, with grants in use and
// with active customers.
func largeSlopes(ctx context.Context, duration time.Duration, seed uint64) ([]slope, error) {
	sizes := []int{designMembers / 4, designMembers / 2, designMembers}
	var all []slope
	for _, s := range []struct {
		name string
		set  func(*meshConfig)
	}{
		{"simulated members, no load", func(*meshConfig) {}},
		{"simulated members, 400 grants held", func(c *meshConfig) { c.heldGrants = 400 }},
		{"simulated members, 320 customers", func(c *meshConfig) { c.customers = designCustomers }},
	} {
		slopes, err := sweep(ctx, s.name, "member", sizes, func(x int) meshConfig {
			cfg := meshConfig{members: 1, simulatedMembers: x - 1, endpoints: x * designEndpoints / designMembers, remoteVMs: x * 6, duration: duration, seed: seed}
			s.set(&cfg)
			return cfg
		})
		if err != nil {
			return nil, err
		}
		all = append(all, slopes...)
	}
	return all, nil
}

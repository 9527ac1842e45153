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

// Sizes of one data centre at the design size; see section 2.1 of docs/design.md. 2,200 VMs and 10,000 workers in seven data
// centres make 314 VMs and about 1,430 endpoints in each.
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
		Usage: "measures what control of one entry VM costs by members, endpoints, customers, grants, requests and changes",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the endpoints and IDs"},
			&cli.FloatFlag{Name: "seconds", Value: 1, Usage: "length of each measurement of running VMs"},
			&cli.StringFlag{Name: "only", Usage: "mesh, large, calls or path in place of all parts"},
			&cli.StringFlag{Name: "out", Usage: "directory for slopes.json"},
		},
		Action: runSlopes,
	}
}

// slopeParts are the parts of the command. Each measures in its own way.
var slopeParts = []struct {
	name string
	run  func(ctx context.Context, length time.Duration, seed uint64) ([]slope, error)
}{
	{"mesh", meshSlopes},
	{"large", largeSlopes},
	{"calls", callSlopes},
	{"path", pathSlopes},
}

func runSlopes(ctx context.Context, cmd *cli.Command) error {
	length, err := seconds(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	var all []slope
	known := cmd.String("only") == ""
	for _, part := range slopeParts {
		if only := cmd.String("only"); only != "" && only != part.name {
			continue
		}
		known = true
		fmt.Fprintf(os.Stderr, "slopes: %s\n", part.name)
		slopes, err := part.run(ctx, length, cmd.Uint64("seed"))
		if err != nil {
			return errors.Wrap(err, part.name)
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

// sweep measures one mesh for each size and fits processor time, traffic and memory.
func sweep(ctx context.Context, name, size string, sizes []int, configure func(int) meshConfig) ([]slope, error) {
	var cpu, bytes, heap []point
	for _, x := range sizes {
		c, err := measureMesh(ctx, configure(x))
		if err != nil {
			return nil, errors.Wrapf(err, "%s, %d %s", name, x, size)
		}
		cpu = append(cpu, point{float64(x), c.cpu})
		bytes = append(bytes, point{float64(x), c.bytes})
		heap = append(heap, point{float64(x), c.heap})
	}
	return []slope{newSlope(name, size, "% of a core", cpu), newSlope(name, size, "bytes/s", bytes), newSlope(name, size, "KB", heap)}, nil
}

// meshSlopes runs small numbers of real VMs. All costs are sums over the VMs, divided by their number.
func meshSlopes(ctx context.Context, length time.Duration, seed uint64) ([]slope, error) {
	base := meshConfig{members: 6, length: length, seed: seed}
	var all []slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		set        func(*meshConfig, int)
	}{
		{"members alone", "member", []int{3, 6, 12, 24}, func(c *meshConfig, x int) { c.members = x }},
		{"owned endpoints, 6 VMs", "endpoint owned by a VM", []int{0, 4, 8, 16}, func(c *meshConfig, x int) { c.endpoints = x * c.members }},
		{"grants, 6 VMs", "grant/s of a VM", []int{0, 25, 50, 100}, func(c *meshConfig, x int) { c.endpoints, c.rate = 24, float64(x) }},
		{"grants in use, 6 VMs", "grant held by a VM", []int{0, 100, 200, 400}, func(c *meshConfig, x int) { c.endpoints, c.held = 24, x }},
		{"customers, 6 VMs", "active customer", []int{0, 80, 160, 320}, func(c *meshConfig, x int) { c.customers = x }},
		{"configuration, 6 VMs", "change/s", []int{1, 5, 10, 20}, func(c *meshConfig, x int) { c.changes = x }},
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

// largeSlopes runs one real VM among simulated members of a data centre up to the design size, first without load, then with
// grants in use, then with customers.
func largeSlopes(ctx context.Context, length time.Duration, seed uint64) ([]slope, error) {
	sizes := []int{designMembers / 4, designMembers / 2, designMembers}
	var all []slope
	for _, s := range []struct {
		name string
		set  func(*meshConfig)
	}{
		{"simulated members, no load", func(*meshConfig) {}},
		{"simulated members, 400 grants held", func(c *meshConfig) { c.held = 400 }},
		{"simulated members, 320 customers", func(c *meshConfig) { c.customers = designCustomers }},
	} {
		slopes, err := sweep(ctx, s.name, "member", sizes, func(x int) meshConfig {
			cfg := meshConfig{members: 1, simulated: x - 1, endpoints: x * designEndpoints / designMembers, remote: x * 6, length: length, seed: seed}
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

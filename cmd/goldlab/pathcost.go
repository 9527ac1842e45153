package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// pathPairs is the number of pairs of a direct call and a call through an entry VM for each prompt length.
const pathPairs = 40

// pathSlopes compares calls through an entry VM with direct calls of the same engine, alternating, with unequal order in
// each pair. The ratio is the median over the pairs.
func pathSlopes(ctx context.Context, _ time.Duration, seed uint64) ([]slope, error) {
	cfg := newLabConfig("affinity")
	cfg.dataCentres, cfg.enginesPerSite = cfg.dataCentres[:1], 1
	l, err := startLab(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer l.close()
	var ratios, added []point
	rnd := rand.New(rand.NewPCG(seed, 1))
	for _, tokens := range []int{250, 1_000, 2_000} {
		var ratio, extra []float64
		for i := range pathPairs {
			// Each prompt has a beginning of its own, so that no call finds its prefix in the cache.
			prompt := func() string {
				return fmt.Sprintf("%016x%s", rnd.Uint64(), strings.Repeat("word", max(0, tokens-4)))
			}
			direct := func() (time.Duration, error) {
				id := fmt.Sprintf("direct-%d-%d", tokens, i)
				return l.timeCall(ctx, "http://"+l.allEngines()[0].Address()+"/v1/completions", map[string]any{"model": labModel, "prompt": prompt(),
					"max_tokens": 8, "stream": true, "request_id": id, "holder": "lab", "reserved_tokens": tokens + 100})
			}
			through := func() (time.Duration, error) {
				return l.timeCall(ctx, "http://"+l.site.Callers("")[0]+"/v1/completions", map[string]any{"model": labModel, "prompt": prompt(),
					"max_tokens": 8, "stream": true})
			}
			calls := []func() (time.Duration, error){direct, through}
			var took [2]time.Duration
			for k := range calls {
				which := (k + i) % 2
				if took[which], err = calls[which](); err != nil {
					return nil, err
				}
			}
			ratio = append(ratio, took[1].Seconds()/took[0].Seconds())
			extra = append(extra, float64((took[1]-took[0]).Microseconds())/1000)
		}
		ratios = append(ratios, point{float64(tokens), median(ratio)})
		added = append(added, point{float64(tokens), median(extra)})
	}
	return []slope{
		newSlope("time through a VM / direct", "prompt token", "ratio", ratios),
		newSlope("time through a VM - direct", "prompt token", "ms", added),
	}, nil
}

func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// timeCall sends a streamed completion and returns the time until its answer has ended.
func (l *lab) timeCall(ctx context.Context, url string, request map[string]any) (time.Duration, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+l.cfg.customers[0].load.APIKey)
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s: status %d: %s", url, resp.StatusCode, data)
	}
	return time.Since(began), nil
}

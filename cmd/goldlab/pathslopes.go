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

// pathPairs is the number of call pairs for each prompt length. A pair is a direct call and a call through an entry VM.
const pathPairs = 40

// pathSlopes compares the time of calls through an entry VM with that of direct calls to the same engine. The order of the two
// calls alternates from pair to pair, so that neither one is always first. Ratios and differences are medians over the pairs.
func pathSlopes(ctx context.Context, _ time.Duration, seed uint64) ([]slope, error) {
	cfg := newLabConfig("affinity")
	cfg.dataCentres, cfg.enginesPerDataCentre = cfg.dataCentres[:1], 1
	l, err := startLab(ctx, cfg)
	if err != nil {
		return nil, err
	}
	defer l.close()
	var ratios, differences []point
	rnd := rand.New(rand.NewPCG(seed, 1))
	for _, tokens := range []int{250, 1_000, 2_000} {
		var ratio, difference []float64
		for i := range pathPairs {
			// Each prompt begins with random characters, so that no call hits the engine's prefix cache.
			prompt := func() string {
				return fmt.Sprintf("%016x%s", rnd.Uint64(), strings.Repeat("word", max(0, tokens-4)))
			}
			direct := func() (time.Duration, error) {
				id := fmt.Sprintf("direct-%d-%d", tokens, i)
				return l.timeCall(ctx, "http://"+l.allEngines()[0].Address()+"/v1/completions", map[string]any{"model": labModel, "prompt": prompt(),
					"max_tokens": 8, "stream": true, "request_id": id, "holder": "lab", "reserved_tokens": tokens + 100})
			}
			viaVM := func() (time.Duration, error) {
				return l.timeCall(ctx, "http://"+l.controller.CallerAddresses("")[0]+"/v1/completions", map[string]any{"model": labModel, "prompt": prompt(),
					"max_tokens": 8, "stream": true})
			}
			calls := []func() (time.Duration, error){direct, viaVM}
			var elapsed [2]time.Duration
			for k := range calls {
				index := (k + i) % 2
				if elapsed[index], err = calls[index](); err != nil {
					return nil, err
				}
			}
			ratio = append(ratio, elapsed[1].Seconds()/elapsed[0].Seconds())
			difference = append(difference, float64((elapsed[1]-elapsed[0]).Microseconds())/1000)
		}
		ratios = append(ratios, point{float64(tokens), median(ratio)})
		differences = append(differences, point{float64(tokens), median(difference)})
	}
	return []slope{
		newSlope("time through a VM / direct", "prompt token", "ratio", ratios),
		newSlope("time through a VM - direct", "prompt token", "ms", differences),
	}, nil
}

// median returns the median of values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// timeCall sends a request for a streamed completion and returns the time until the end of the answer.
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
	start := time.Now()
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
	return time.Since(start), nil
}

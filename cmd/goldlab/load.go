package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"goldcrestpath/standin"
)

// Limits of a load: its duration, and its rate of prompts and of bookings per second.
const (
	maxLoadDuration = 30 * time.Minute
	maxLoadRate     = 2_000
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to entry VMs and verify every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "`ADDRESS` where an entry VM listens for callers; may be repeated or separated by commas"},
			&cli.StringSliceFlag{Name: "key", Required: true, Usage: "API `KEY` or NAME=KEY=WEIGHT of a customer; the default weights of successive customers are 1, 1/2, 1/4 and so on"},
			&cli.StringFlag{Name: "model", Value: "small", Usage: "`MODEL` that the prompts request"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "prompts per second"},
			&cli.FloatFlag{Name: "bookingRate", Value: 1, Usage: "bookings with idempotency keys per second"},
			&cli.FloatFlag{Name: "doubled", Value: 0.2, Usage: "share of the bookings that are sent a second time to another VM"},
			&cli.FloatFlag{Name: "seconds", Value: 30, Usage: "duration of the load in seconds"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random `SEED` of the arrivals"},
			&cli.IntFlag{Name: "maxTokens", Value: 32, Usage: "length of the longest answer in tokens"},
			&cli.IntFlag{Name: "withoutLonger", Usage: "leave out prompts with more than this number of tokens"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for the JSON report and SVG plots"},
		},
		Action: runLoad,
	}
}

// parseCustomers parses the values of --key.
func parseCustomers(keys []string) ([]standin.LoadCustomer, error) {
	var all []standin.LoadCustomer
	weight := 1.0
	for i, k := range keys {
		c := standin.LoadCustomer{Name: fmt.Sprintf("customer-%d", i+1), APIKey: k, Weight: weight}
		if parts := strings.Split(k, "="); len(parts) == 3 {
			w, err := strconv.ParseFloat(parts[2], 64)
			if err != nil || w <= 0 {
				return nil, errors.Errorf("--key %s: the weight must be a positive number", parts[0])
			}
			c = standin.LoadCustomer{Name: parts[0], APIKey: parts[1], Weight: w}
		} else if len(parts) != 1 {
			return nil, errors.New("--key takes KEY or NAME=KEY=WEIGHT")
		}
		all = append(all, c)
		weight /= 2
	}
	return all, nil
}

// loadDuration converts the value of --seconds. It returns an error if the value is not positive or exceeds maxLoadDuration.
func loadDuration(v float64) (time.Duration, error) {
	d := time.Duration(v * float64(time.Second))
	if d <= 0 || d > maxLoadDuration {
		return 0, errors.Errorf("--seconds must be above 0 and at most %.0f", maxLoadDuration.Seconds())
	}
	return d, nil
}

// runLoad sends a load to the targets, verifies the answers and reports the results.
func runLoad(ctx context.Context, cmd *cli.Command) error {
	customers, err := parseCustomers(cmd.StringSlice("key"))
	if err != nil {
		return err
	}
	duration, err := loadDuration(cmd.Float("seconds"))
	if err != nil {
		return err
	}
	if r := cmd.Float("rate"); r <= 0 || r > maxLoadRate || cmd.Float("bookingRate") > maxLoadRate {
		return errors.Errorf("--rate must be above 0 and at most %d", maxLoadRate)
	}
	cfg := standin.LoadConfig{
		Rate: cmd.Float("rate"), Duration: duration, Seed: cmd.Uint64("seed"), Model: cmd.String("model"), Customers: customers,
		ClassShares: standin.DefaultClassShares(), MaxTokens: cmd.Int("maxTokens"), SharedPrefixShare: sharedPrefixShare,
		BookingRate: cmd.Float("bookingRate"), DuplicateShare: cmd.Float("doubled"), MaxPromptTokens: cmd.Int("withoutLonger"),
		// The platform's log keeps idempotency keys after the end of a run. Without a prefix that differs between runs, a second
		// run would get the recorded answers of the first.
		KeyPrefix: fmt.Sprintf("load-%d-", time.Now().UnixNano()),
	}
	targets := cmd.StringSlice("target")
	generator, err := standin.NewLoadGenerator(cfg, standin.DefaultDeadlines(), os.Stderr, targets...)
	if err != nil {
		return err
	}
	outcomes := generator.Run(ctx)
	records, err := fetchBookings(ctx, targets[0], customers[0].APIKey)
	if err != nil && cfg.BookingRate > 0 {
		fmt.Fprintf(os.Stderr, "cannot verify bookings: %v\n", err)
	}
	s := standin.Summarize("load", outcomes, records)
	s.Write(cmd.Root().Writer)
	if err := writeReport(cmd.String("out"), s); err != nil {
		return err
	}
	if len(s.Violations) > 0 {
		return errors.Errorf("%d violations", len(s.Violations))
	}
	return nil
}

// sharedPrefixShare is the share of the prompts that begin with one of the shared prefixes of their customer.
const sharedPrefixShare = 0.5

// fetchBookings returns the bookings that the booking service has recorded. The request goes through an entry VM.
func fetchBookings(ctx context.Context, target, apiKey string) ([]standin.BookingRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/services/booking/bookings", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	var body struct {
		Bookings []standin.BookingRecord `json:"bookings"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, err
	}
	return body.Bookings, nil
}

// writeReport writes report.json and the plots of the summaries to dir. It does nothing if dir is empty.
func writeReport(dir string, summaries ...standin.Summary) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(summaries, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return err
	}
	service := standin.Plot{Title: "Prompts answered completely and in time", XLabel: "seconds", YLabel: "share"}
	for _, s := range summaries {
		ttft := standin.Plot{Title: s.Name + ": time to first token", XLabel: "quantile", YLabel: "ms", LogY: true}
		for _, c := range s.Curves {
			ttft.Series = append(ttft.Series, standin.Series{Name: c.Name, X: c.Quantiles, Y: c.Millis})
		}
		if err := writePlot(dir, "ttft-"+s.Name, ttft); err != nil {
			return err
		}
		inTime := standin.Series{Name: s.Name}
		for _, second := range s.Seconds {
			at, _ := strconv.ParseFloat(second.Name, 64)
			inTime.X, inTime.Y = append(inTime.X, at), append(inTime.Y, second.InTimeShare())
		}
		service.Series = append(service.Series, inTime)
	}
	return writePlot(dir, "service", service)
}

// writePlot writes a plot to an SVG file in dir.
func writePlot(dir, name string, p standin.Plot) error {
	f, err := os.Create(filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".svg"))
	if err != nil {
		return err
	}
	defer f.Close()
	return p.Write(f)
}

package standin

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"goldcrestpath/customer"
)

// LoadCustomer is one customer of a load.
type LoadCustomer struct {
	Name   string
	APIKey string
	Weight float64 // share of the prompt rate, relative to the sum of all weights
}

// LoadConfig describes the arrivals of a load. Equal configurations give equal arrivals.
type LoadConfig struct {
	Rate      float64 // prompts per second of all customers together
	Duration  time.Duration
	Seed      uint64
	Model     string
	Customers []LoadCustomer

	ClassShares       map[customer.Class]float64 // shares of the prompts by length class
	MaxTokens         int                        // upper bound of the answer length; the lower bound is a quarter of it
	SharedPrefixShare float64                    // share of the prompts that begin with a shared prefix
	BookingRate       float64                    // bookings per second, each with an idempotency key
	KeyPrefix         string                     // prefix of the idempotency keys
	DuplicateShare    float64                    // share of the bookings that are sent a second time, to the next target
	Surge             Surge
	MaxPromptTokens   int // leaves out longer prompts and keeps the others unchanged; 0 leaves out none
}

// Surge multiplies the prompt rate of one customer during a period of the load.
type Surge struct {
	Customer string
	Factor   float64
	From, To time.Duration
}

// DefaultClassShares returns a mix of prompt lengths in which one prompt in fifty is above 100,000 tokens.
func DefaultClassShares() map[customer.Class]float64 {
	return map[customer.Class]float64{customer.Short: 0.70, customer.Medium: 0.20, customer.Long: 0.08, customer.VeryLong: 0.02}
}

// classTokenRanges holds the shortest and longest prompt of each class in tokens. Within a class the logarithm of the length is
// uniformly distributed.
var classTokenRanges = map[customer.Class][2]int{
	customer.Short:    {1_000, 1_999},
	customer.Medium:   {2_000, 15_999},
	customer.Long:     {16_000, 100_000},
	customer.VeryLong: {100_001, 1_000_000},
}

// prefixesPerCustomer is the number of shared prefixes of each customer, and sharedPrefixTokens the length of one in tokens.
const (
	prefixesPerCustomer = 8
	sharedPrefixTokens  = 512
)

// MeanTokens returns the expected prompt length in tokens, without regard to MaxPromptTokens.
func (cfg LoadConfig) MeanTokens() float64 {
	mean := 0.0
	for class, share := range cfg.ClassShares {
		// The mean of a distribution with a uniform logarithm is (high - low) / ln(high/low).
		low, high := float64(classTokenRanges[class][0]), float64(classTokenRanges[class][1])
		mean += share * (high - low) / math.Log(high/low)
	}
	return mean
}

// LoadRequest is one prompt or booking of a load.
type LoadRequest struct {
	At             time.Duration // intended send time, relative to the start of the load
	Number         int           // index in the order of the send times
	Customer       LoadCustomer
	Booking        bool          // a booking, not a prompt
	Key            string        // Idempotency-Key of a booking
	DuplicateDelay time.Duration // delay after At of the second send of a booking; 0 for a single send
	Model          string
	Tokens         int // prompt length
	MaxTokens      int
	Prefix         int // index of the shared prefix, or -1
	seed           uint64
}

// Class returns the length class of the prompt.
func (r LoadRequest) Class() customer.Class { return customer.ClassOf(r.Tokens) }

// Prompt returns the text of the prompt. After the shared prefix it differs from all other prompts.
func (r LoadRequest) Prompt() string {
	var b strings.Builder
	b.Grow(r.Tokens * TokenBytes)
	if r.Prefix >= 0 {
		b.WriteString(AnswerText(fmt.Sprintf("prefix%d", r.Prefix), r.Customer.Name, min(r.Tokens, sharedPrefixTokens)))
	}
	// Long prompts repeat one random block, because it would take much processor time to generate up to a million random tokens.
	block := AnswerText(fmt.Sprintf("prompt%dx%d", r.seed, r.Number), r.Model, 1_021)
	for b.Len()+len(block) <= r.Tokens*TokenBytes {
		b.WriteString(block)
	}
	b.WriteString(block[:r.Tokens*TokenBytes-b.Len()])
	return b.String()
}

// Arrivals returns the arrivals in the order of their times. The prompts of each customer, the additional prompts of a surge and
// the bookings are Poisson processes. Each process has a random source of its own, so that a change of one does not affect the
// others.
func (cfg LoadConfig) Arrivals() []LoadRequest {
	var all []LoadRequest
	totalWeight := 0.0
	for _, c := range cfg.Customers {
		totalWeight += c.Weight
	}
	for i, c := range cfg.Customers {
		random := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		rate := cfg.Rate * c.Weight / totalWeight
		for at := nextArrival(random, 0, rate); at < cfg.Duration; at = nextArrival(random, at, rate) {
			all = cfg.appendPrompt(all, random, c, at)
		}
		if s := cfg.Surge; s.Customer == c.Name && s.Factor > 1 {
			extra := rand.New(rand.NewPCG(cfg.Seed, uint64(i)|1<<32))
			for at := nextArrival(extra, s.From, rate*(s.Factor-1)); at < min(s.To, cfg.Duration); at = nextArrival(extra, at, rate*(s.Factor-1)) {
				all = cfg.appendPrompt(all, extra, c, at)
			}
		}
	}
	random, bookings := rand.New(rand.NewPCG(cfg.Seed, 1<<40)), 0
	for at := nextArrival(random, 0, cfg.BookingRate); at < cfg.Duration; at = nextArrival(random, at, cfg.BookingRate) {
		req := LoadRequest{At: at, Customer: cfg.Customers[random.IntN(len(cfg.Customers))], Booking: true}
		req.Key = fmt.Sprintf("%s%d-%d", cfg.KeyPrefix, cfg.Seed, bookings)
		bookings++
		if random.Float64() < cfg.DuplicateShare {
			req.DuplicateDelay = time.Duration(1 + random.IntN(int(100*time.Millisecond)))
		}
		all = append(all, req)
	}
	slices.SortStableFunc(all, func(a, b LoadRequest) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// nextArrival returns the time of the first arrival after the given time in a Poisson process with rate arrivals a second.
func nextArrival(random *rand.Rand, after time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	return after + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
}

// appendPrompt appends a prompt with a random class, length and prefix. A prompt above MaxPromptTokens is left out only after all
// its random values are drawn, so that the other prompts do not change.
func (cfg LoadConfig) appendPrompt(all []LoadRequest, random *rand.Rand, c LoadCustomer, at time.Duration) []LoadRequest {
	req := LoadRequest{At: at, Customer: c, Model: cfg.Model, Prefix: -1, seed: cfg.Seed}
	class, x := customer.Short, random.Float64()
	for _, k := range customer.Classes() {
		if x -= cfg.ClassShares[k]; x < 0 {
			class = k
			break
		}
	}
	bounds := classTokenRanges[class]
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]+1))
	req.Tokens = min(bounds[1], int(math.Exp(low+random.Float64()*(high-low))))
	req.MaxTokens = max(1, cfg.MaxTokens/4+random.IntN(max(1, cfg.MaxTokens*3/4)))
	if random.Float64() < cfg.SharedPrefixShare {
		req.Prefix = random.IntN(prefixesPerCustomer)
	}
	if cfg.MaxPromptTokens > 0 && req.Tokens > cfg.MaxPromptTokens {
		return all
	}
	return append(all, req)
}

package standin

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the block size of the prefix cache in bytes. The hash of a prompt's first block identifies its prefix in cache
	// events.
	blockBytes = 1024
	// maxEvents bounds the number of cache events that are retained for readers.
	maxEvents = 1024
)

// CacheEvent reports that a prefix was stored in or evicted from an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored or evicted
	Prefix   string `json:"prefix"`

	visibleAt time.Time
}

// PrefixID returns the identifier of a prompt's prefix in cache events.
func PrefixID(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), blockBytes)]), 16)
}

// prefixCache stores the most recent prompt of each prefix as a list of block hashes. When the capacity is exceeded, it evicts
// the least recently used prompts.
type prefixCache struct {
	capacity int // tokens
	used     int // tokens
	entries  map[string]*cachedPrompt
	clock    uint64 // number of uses so far

	delay  time.Duration // time between an event and its visibility to readers
	loss   float64       // probability that an event is not published
	random *rand.Rand
	events []CacheEvent // oldest first
	next   uint64       // sequence number of the next event
}

type cachedPrompt struct {
	blocks   []uint64
	lastUsed uint64 // value of prefixCache.clock at the last use
}

func (p *cachedPrompt) tokens() int { return len(p.blocks) * blockBytes / TokenBytes }

func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{
		capacity: cfg.CacheTokens,
		entries:  map[string]*cachedPrompt{},
		delay:    cfg.CacheEventDelay,
		loss:     cfg.CacheEventLoss,
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		next:     1,
	}
}

// blockHashes returns the hashes of the complete blocks of a prompt.
func blockHashes(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		blocks = append(blocks, xxhash.Sum64String(prompt[:blockBytes]))
	}
	return blocks
}

// lookup returns the number of leading tokens of a prompt that are cached, and marks the cached prompt as used.
func (c *prefixCache) lookup(prefix string, blocks []uint64) int {
	p, ok := c.entries[prefix]
	if !ok {
		return 0
	}
	c.clock++
	p.lastUsed = c.clock
	n := 0
	for n < len(blocks) && n < len(p.blocks) && blocks[n] == p.blocks[n] {
		n++
	}
	return n * blockBytes / TokenBytes
}

// store stores the leading blocks of a prompt, as many as the capacity allows, and evicts other prompts to make space for them. It
// replaces an earlier prompt with the same prefix.
func (c *prefixCache) store(now time.Time, prefix string, blocks []uint64) {
	if n := c.capacity * TokenBytes / blockBytes; len(blocks) > n {
		blocks = blocks[:n]
	}
	if len(blocks) == 0 {
		return
	}
	old, known := c.entries[prefix]
	if known {
		c.used -= old.tokens()
	}
	c.clock++
	p := &cachedPrompt{blocks: blocks, lastUsed: c.clock}
	c.entries[prefix] = p
	c.used += p.tokens()
	for c.used > c.capacity {
		c.evictLeastRecentlyUsed(now)
	}
	if !known {
		c.emit(now, "stored", prefix)
	}
}

func (c *prefixCache) evictLeastRecentlyUsed(now time.Time) {
	var victim string
	var victimPrompt *cachedPrompt
	for prefix, p := range c.entries {
		if victimPrompt == nil || p.lastUsed < victimPrompt.lastUsed {
			victim, victimPrompt = prefix, p
		}
	}
	c.used -= victimPrompt.tokens()
	delete(c.entries, victim)
	c.emit(now, "evicted", victim)
}

// emit assigns the next sequence number to an event and publishes it after the delay. A random share of the events is not
// published, which leaves a gap in the sequence numbers.
func (c *prefixCache) emit(now time.Time, kind, prefix string) {
	sequence := c.next
	c.next++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: sequence, Kind: kind, Prefix: prefix, visibleAt: now.Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// read returns the published events from sequence number from on, and the sequence number at which to continue.
func (c *prefixCache) read(now time.Time, from uint64) ([]CacheEvent, uint64) {
	events, next := []CacheEvent{}, from
	for _, e := range c.events {
		if e.Sequence >= from && !e.visibleAt.After(now) {
			events = append(events, e)
			next = e.Sequence + 1
		}
	}
	return events, next
}

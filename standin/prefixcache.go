package standin

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the length of the first block of a prompt, whose hash names the prefix in cache events.
	prefixBytes = 1024
	// keptEvents is the number of cache events that can still be read.
	keptEvents = 1024
)

// CacheEvent says that a prefix was stored in or evicted from an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored or evicted
	Prefix   string `json:"prefix"`

	visible time.Time
}

// PrefixOf returns the name of a prompt's prefix in cache events.
func PrefixOf(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]), 16)
}

// prefixCache keeps the newest prompt of each prefix as a list of block hashes, in limited memory, least recently used
// evicted first.
type prefixCache struct {
	capacity int // tokens
	used     int // tokens
	entries  map[string]*cachedPrompt
	clock    uint64

	delay  time.Duration
	loss   float64
	random *rand.Rand
	events []CacheEvent // oldest first
	next   uint64       // sequence number of the next event
}

type cachedPrompt struct {
	blocks []uint64
	used   uint64 // clock of the last use
}

func (p *cachedPrompt) tokens() int { return len(p.blocks) * prefixBytes / TokenBytes }

func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{
		capacity: cfg.CacheTokens,
		entries:  map[string]*cachedPrompt{},
		delay:    cfg.EventDelay,
		loss:     cfg.EventLoss,
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		next:     1,
	}
}

// blockHashes returns the hashes of the whole blocks of a prompt.
func blockHashes(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/prefixBytes)
	for ; len(prompt) >= prefixBytes; prompt = prompt[prefixBytes:] {
		blocks = append(blocks, xxhash.Sum64String(prompt[:prefixBytes]))
	}
	return blocks
}

// lookup returns the number of leading tokens of a prompt that the cache holds.
func (c *prefixCache) lookup(prefix string, blocks []uint64) int {
	p, ok := c.entries[prefix]
	if !ok {
		return 0
	}
	c.clock++
	p.used = c.clock
	n := 0
	for n < len(blocks) && n < len(p.blocks) && blocks[n] == p.blocks[n] {
		n++
	}
	return n * prefixBytes / TokenBytes
}

// store keeps a prompt and evicts others until it fits.
func (c *prefixCache) store(now time.Time, prefix string, blocks []uint64) {
	if n := c.capacity * TokenBytes / prefixBytes; len(blocks) > n {
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
	p := &cachedPrompt{blocks: blocks, used: c.clock}
	c.entries[prefix] = p
	c.used += p.tokens()
	for c.used > c.capacity {
		c.evictOldest(now)
	}
	if !known {
		c.emit(now, "stored", prefix)
	}
}

func (c *prefixCache) evictOldest(now time.Time) {
	var oldest string
	var entry *cachedPrompt
	for prefix, p := range c.entries {
		if entry == nil || p.used < entry.used {
			oldest, entry = prefix, p
		}
	}
	c.used -= entry.tokens()
	delete(c.entries, oldest)
	c.emit(now, "evicted", oldest)
}

// emit numbers an event and publishes it later, or never.
func (c *prefixCache) emit(now time.Time, kind, prefix string) {
	sequence := c.next
	c.next++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: sequence, Kind: kind, Prefix: prefix, visible: now.Add(c.delay)})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// read returns the visible events from a sequence number on and the number to continue with.
func (c *prefixCache) read(now time.Time, from uint64) ([]CacheEvent, uint64) {
	events, next := []CacheEvent{}, from
	for _, e := range c.events {
		if e.Sequence >= from && !e.visible.After(now) {
			events = append(events, e)
			next = e.Sequence + 1
		}
	}
	return events, next
}

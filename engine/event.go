package engine

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Stored   bool // false means evicted
	Prefix   uint64
}

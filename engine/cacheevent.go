package engine

// CacheEvent is one change to an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Stored   bool   // false means evicted
	Prefix   uint64 // hash of the prefix
}

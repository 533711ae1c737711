package base

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// AtomicPointer holds an immutable value that readers load and a writer
// replaces as a whole.
type AtomicPointer[T any] struct{ pointer atomic.Pointer[T] }

// Load returns the current value; nil before the first Store.
func (p *AtomicPointer[T]) Load() *T { return p.pointer.Load() }

// Store replaces the value.
func (p *AtomicPointer[T]) Store(value *T) { p.pointer.Store(value) }

// SortedKeys returns the keys of a map in ascending order. Go's order of map
// iteration differs from run to run, which would keep the simulator from
// replaying a seed.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Map returns the results of convert for all items.
func Map[A, B any](list []A, convert func(A) B) []B {
	out := make([]B, 0, len(list))
	for _, item := range list {
		out = append(out, convert(item))
	}
	return out
}

// Filter returns the items for which keep is true.
func Filter[A any](list []A, keep func(A) bool) []A {
	out := make([]A, 0, len(list))
	for _, item := range list {
		if keep(item) {
			out = append(out, item)
		}
	}
	return out
}

// Hash64 returns a hash of the parts that is the same on every node and in every
// release, so that it can place keys.
func Hash64(parts ...string) uint64 {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// Digest returns the first 128 bits of the SHA-256 hash in hex, for comparing
// bodies and credentials.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// RendezvousOrder orders candidates for a key by rendezvous hashing; the first
// one should hold the key.
func RendezvousOrder(key string, candidates []string) []string {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b string) int {
		if order := cmp.Compare(Hash64(key, b), Hash64(key, a)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

// NewID returns the prefix followed by 64 random bits in hex. The random numbers
// come from the clock, so that the simulator can replay them.
func NewID(clock Clock, prefix string) string {
	return fmt.Sprintf("%s%08x%08x", prefix, clock.Int64N(1<<32), clock.Int64N(1<<32))
}

// MustMarshal encodes a value as JSON. It panics on an error, which does not
// occur for the record types of this project.
func MustMarshal(record any) []byte {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// Counters are named counters, created on first use. Add takes no lock.
type Counters struct {
	counts  sync.Map
	mu      sync.Mutex
	sources []func(snapshot map[string]int64)
}

// NewCounters returns an empty set of counters.
func NewCounters() *Counters { return &Counters{} }

// AddSource registers a function that adds counts kept elsewhere to each
// snapshot.
func (c *Counters) AddSource(source func(snapshot map[string]int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = append(c.sources, source)
}

// Add adds n to a counter.
func (c *Counters) Add(name string, n int64) {
	count, ok := c.counts.Load(name)
	if !ok {
		count, _ = c.counts.LoadOrStore(name, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(n)
}

// Snapshot returns the current values of all counters.
func (c *Counters) Snapshot() map[string]int64 {
	out := map[string]int64{}
	c.counts.Range(func(name, count any) bool {
		out[name.(string)] = count.(*atomic.Int64).Load()
		return true
	})
	c.mu.Lock()
	sources := c.sources
	c.mu.Unlock()
	for _, source := range sources {
		source(out)
	}
	return out
}

// Small generic containers and pipelines shared by the slices: a table that
// is swapped whole, sorted key walks (so that the simulator replays), and
// named counters.

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

// AtomicPointer is an immutable snapshot that readers load and a writer swaps whole.
type AtomicPointer[T any] struct{ held atomic.Pointer[T] }

func (t *AtomicPointer[T]) Load() *T       { return t.held.Load() }
func (t *AtomicPointer[T]) Store(frame *T) { t.held.Store(frame) }

// SortedKeys walks a map in a fixed order.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Map carries a pipeline step over a list.
func Map[A, B any](list []A, step func(A) B) []B {
	out := make([]B, 0, len(list))
	for _, item := range list {
		out = append(out, step(item))
	}
	return out
}

// Filter keeps what passes.
func Filter[A any](list []A, keep func(A) bool) []A {
	out := make([]A, 0, len(list))
	for _, item := range list {
		if keep(item) {
			out = append(out, item)
		}
	}
	return out
}

// Hash64 is a stable hash for placing keys.
func Hash64(parts ...string) uint64 {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// Digest is a short hex digest for comparing bodies and credentials.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// RendezvousOrder orders candidates for a key, first the one that should have it.
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

// NewID makes a random name from the clock's own source of chance.
func NewID(clock Clock, prefix string) string {
	return fmt.Sprintf("%s%08x%08x", prefix, clock.Int64N(1<<32), clock.Int64N(1<<32))
}

// MustMarshal writes a record of the project's own; such records always encode.
func MustMarshal(record any) []byte {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return raw
}

// Counters are named counts, made on first use and added to without a lock.
type Counters struct {
	counts sync.Map
	mu     sync.Mutex
	also   []func(into map[string]int64)
}

func NewCounters() *Counters { return &Counters{} }

// AddSource adds counts that are kept elsewhere to each frame.
func (c *Counters) AddSource(source func(into map[string]int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.also = append(c.also, source)
}

func (c *Counters) Add(name string, n int64) {
	count, ok := c.counts.Load(name)
	if !ok {
		count, _ = c.counts.LoadOrStore(name, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(n)
}

// Snapshot is all counts as they stand.
func (c *Counters) Snapshot() map[string]int64 {
	out := map[string]int64{}
	c.counts.Range(func(name, count any) bool {
		out[name.(string)] = count.(*atomic.Int64).Load()
		return true
	})
	c.mu.Lock()
	also := c.also
	c.mu.Unlock()
	for _, source := range also {
		source(out)
	}
	return out
}

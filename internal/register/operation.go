package register

import (
	"fordseam/internal/base"

	"github.com/emirpasic/gods/maps/treemap"
)

// Op is an operation that reads and changes keys of one shard. Executing it twice
// must be safe, since clients repeat it when a reply is lost.
type Op func(tx *Tx, args []byte) (any, error)

// Tx is an operation's view of its shard: the keys, and the puts that it has
// made so far. The puts are replicated together.
type Tx struct {
	// Now is the shard's own time in milliseconds. It advances by the monotonic
	// clock of the shard's leader, stands still while there is none, and never
	// goes back.
	Now    int64
	Bounds *base.Bounds
	// Group is the group that the operation was called for.
	Group string
	// Epoch is the leader's epoch.
	Epoch uint64
	kv    *treemap.Map
	puts  []*Put
}

// Get returns the value of a key, nil if there is none.
func (t *Tx) Get(key string) []byte {
	for last := len(t.puts) - 1; last >= 0; last-- {
		if t.puts[last].Key == key {
			return t.puts[last].Value
		}
	}
	if value, ok := t.kv.Get(key); ok {
		return value.([]byte)
	}
	return nil
}

// Put sets the value of a key.
func (t *Tx) Put(key string, value []byte) { t.puts = append(t.puts, &Put{Key: key, Value: value}) }

// Delete removes a key.
func (t *Tx) Delete(key string) { t.puts = append(t.puts, &Put{Key: key, Gone: true}) }

// Walk visits the keys with a prefix in order, as they were before this operation,
// and only those greater than after unless that is empty. It stops when visit
// returns false.
func (t *Tx) Walk(prefix, after string, visit func(key string, value []byte) bool) {
	from := prefix
	if after != "" {
		from = after + "\x00"
	}
	for {
		key, value := t.kv.Ceiling(from)
		if key == nil || len(key.(string)) < len(prefix) || key.(string)[:len(prefix)] != prefix {
			return
		}
		if !visit(key.(string), value.([]byte)) {
			return
		}
		from = key.(string) + "\x00"
	}
}

// Handle registers an operation under a name. It is called before Run.
func (srv *Server) Handle(name string, op Op) { srv.ops[name] = op }

// AddSweep adds a function that cleans up a shard; it runs periodically on every
// shard that this core leads. It is called before Run.
func (srv *Server) AddSweep(sweep func(tx *Tx)) { srv.sweeps = append(srv.sweeps, sweep) }

// runSweeps runs all sweeps on the shards that this core leads.
func (srv *Server) runSweeps() {
	for _, s := range srv.shards {
		s.mu.Lock()
		leads := s.phase == phaseLeading
		s.mu.Unlock()
		if !leads {
			continue
		}
		_, _ = srv.applyInternal(base.NewCtx(srv.clock, srv.bounds.Load().CoreCallTimeout()), s, func(tx *Tx) (any, error) {
			for _, sweep := range srv.sweeps {
				sweep(tx)
			}
			// Stores the shard's time even if nothing else changes.
			if len(tx.puts) == 0 && tx.kv.Size() > 1 {
				tx.Put(TimeKey, nil)
			}
			return nil, nil
		})
	}
}

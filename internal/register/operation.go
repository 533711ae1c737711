// Operations: decisions about a change of one slot, as the other packages
// register them, and the view of the slot that a decision is made on.

package register

import (
	"fordseam/internal/base"

	"github.com/emirpasic/gods/maps/treemap"
)

// Op decides a change within one slot. It must be safe to ask twice: the
// asker repeats it when a reply is lost.
type Op func(tx *Tx, args []byte) (any, error)

// Tx is what an op sees: the slot's keys, and the puts it has made so far.
type Tx struct {
	// Now is the slot's own time, in milliseconds: it goes on with whoever
	// keeps the slot, stands still while nobody does, and never goes back.
	Now    int64
	Bounds *base.Bounds
	Group  string
	// Epoch is the one that the change is made under.
	Epoch uint64
	held  *treemap.Map
	puts  []*Put
}

func (t *Tx) Get(key string) []byte {
	for last := len(t.puts) - 1; last >= 0; last-- {
		if t.puts[last].Key == key {
			return t.puts[last].Value
		}
	}
	if value, ok := t.held.Get(key); ok {
		return value.([]byte)
	}
	return nil
}

func (t *Tx) Put(key string, value []byte) { t.puts = append(t.puts, &Put{Key: key, Value: value}) }

func (t *Tx) Delete(key string) { t.puts = append(t.puts, &Put{Key: key, Gone: true}) }

// Walk visits the keys under a prefix in order, as they were before this
// change, from after a key on; visit returns false to stop.
func (t *Tx) Walk(prefix, after string, visit func(key string, value []byte) bool) {
	from := prefix
	if after != "" {
		from = after + "\x00"
	}
	for {
		key, value := t.held.Ceiling(from)
		if key == nil || len(key.(string)) < len(prefix) || key.(string)[:len(prefix)] != prefix {
			return
		}
		if !visit(key.(string), value.([]byte)) {
			return
		}
		from = key.(string) + "\x00"
	}
}

// Handle names an op; Sweep adds a clean-up run over every slot now and
// then. Both are called before Run.
func (o *Server) Handle(name string, op Op) { o.ops[name] = op }

func (o *Server) AddSweep(clean func(tx *Tx)) { o.sweeps = append(o.sweeps, clean) }

func (o *Server) sweepAll() {
	for _, s := range o.slots {
		s.mu.Lock()
		serves := s.phase == serving
		s.mu.Unlock()
		if !serves {
			continue
		}
		_, _ = o.decideUnsaid(base.NewCtx(o.clock, o.bounds.Load().Call()), s, func(tx *Tx) (any, error) {
			for _, clean := range o.sweeps {
				clean(tx)
			}
			// The time that passed is kept even where nothing else happens.
			if len(tx.puts) == 0 && tx.held.Size() > 1 {
				tx.Put(TimeKey, nil)
			}
			return nil, nil
		})
	}
}

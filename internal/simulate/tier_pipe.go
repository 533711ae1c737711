// What one side of a connection sends to the other: in order, each piece a
// while later, and nothing any more once the sender's machine has gone dark.

package simulate

import (
	"time"

	"fordseam/internal/base"
)

type inTransit[T any] struct {
	arrivesAt time.Duration
	item      T
}

// pipe is one direction of a connection.
type pipe[T any] struct {
	world       *World
	changed     *base.Notifier
	items       []inTransit[T]
	lastArrival time.Duration
}

func newPipe[T any](host *Host) *pipe[T] {
	return &pipe[T]{world: host.World, changed: base.NewNotifier(host.Clock())}
}

func (p *pipe[T]) send(delay time.Duration, item T) {
	p.lastArrival = max(p.lastArrival, p.world.now+delay)
	p.items = append(p.items, inTransit[T]{p.lastArrival, item})
	p.changed.Notify()
}

// due tells whether something has arrived.
func (p *pipe[T]) ready() bool { return len(p.items) > 0 && p.items[0].arrivesAt <= p.world.now }

// next waits for what arrives next, until a moment or until the reader has
// closed its side.
func (p *pipe[T]) receive(until time.Duration, closed func() bool) (item T, ok bool) {
	for {
		news := p.changed.Next()
		now := p.world.now
		switch {
		case closed != nil && closed():
			return item, false
		case p.ready():
			item = p.items[0].item
			p.items = p.items[1:]
			return item, true
		case now >= until:
			return item, false
		case len(p.items) > 0:
			news.Wait(min(until, p.items[0].arrivesAt) - now)
		default:
			news.Wait(until - now)
		}
	}
}

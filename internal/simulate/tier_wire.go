// What one side of a connection sends to the other: in order, each piece a
// while later, and nothing any more once the sender's machine has gone dark.

package simulate

import (
	"time"

	"fordseam/internal/base"
)

type onTheWay[T any] struct {
	at   time.Duration
	item T
}

// pipe is one direction of a connection.
type pipe[T any] struct {
	world *World
	bell  *base.Notifier
	items []onTheWay[T]
	last  time.Duration
}

func newPipe[T any](host *Host) *pipe[T] {
	return &pipe[T]{world: host.World, bell: base.NewNotifier(host.Clock())}
}

func (p *pipe[T]) put(delay time.Duration, item T) {
	p.last = max(p.last, p.world.now+delay)
	p.items = append(p.items, onTheWay[T]{p.last, item})
	p.bell.Notify()
}

// due tells whether something has arrived.
func (p *pipe[T]) due() bool { return len(p.items) > 0 && p.items[0].at <= p.world.now }

// next waits for what arrives next, until a moment or until the reader has
// closed its side.
func (p *pipe[T]) next(until time.Duration, closed func() bool) (item T, ok bool) {
	for {
		news := p.bell.Next()
		now := p.world.now
		switch {
		case closed != nil && closed():
			return item, false
		case p.due():
			item = p.items[0].item
			p.items = p.items[1:]
			return item, true
		case now >= until:
			return item, false
		case len(p.items) > 0:
			news.Wait(min(until, p.items[0].at) - now)
		default:
			news.Wait(until - now)
		}
	}
}

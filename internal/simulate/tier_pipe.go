package simulate

import (
	"time"

	"fordseam/internal/base"
)

// inTransit is an item on its way to the reader.
type inTransit[T any] struct {
	arrivesAt time.Duration
	item      T
}

// pipe is one direction of a connection. It delivers items in order, each after a delay.
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

// ready tells whether an item has arrived.
func (p *pipe[T]) ready() bool { return len(p.items) > 0 && p.items[0].arrivesAt <= p.world.now }

// receive waits for the next item until a time, or until closed returns true.
func (p *pipe[T]) receive(until time.Duration, closed func() bool) (item T, ok bool) {
	for {
		notified := p.changed.Next()
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
			notified.Wait(min(until, p.items[0].arrivesAt) - now)
		default:
			notified.Wait(until - now)
		}
	}
}

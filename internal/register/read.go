// Reading the newest content at a take-over. Promises tell epochs and numbers
// only, and the content along with them where it is small. A large one is read
// in parts from a disk that has the newest; it cannot change meanwhile, since
// that disk takes changes under no lower epoch any more. Where the disk is lost,
// another with the same epoch and number goes on from the same place.

package register

import (
	"sync"

	"fordseam/internal/base"
)

// promises gathers the disks that promised, and what is newest among them.
type promises struct {
	mu      sync.Mutex
	best    *PromiseReply
	ageMs   int64
	holders []*DiskEntry
}

// add takes a promise in. No disk has held the content for longer than the
// oldest of those that have it.
func (p *promises) add(entry *DiskEntry, reply *PromiseReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.best == nil || reply.position().Newer(p.best.position()):
		p.best, p.ageMs, p.holders = reply, reply.AgeMs, []*DiskEntry{entry}
	case reply.position() == p.best.position():
		p.ageMs = max(p.ageMs, reply.AgeMs)
		p.holders = append(p.holders, entry)
	}
}

// newest is the newest promise so far, how long a disk has held what it tells,
// and the disks that do.
func (p *promises) newest() (best *PromiseReply, ageMs int64, holders []*DiskEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.best, p.ageMs, p.holders
}

// readContent gives the content that a promise tells of.
func (o *Server) readContent(s *slot, epoch uint64, set *DiskSet, newest *PromiseReply, holders []*DiskEntry) ([]*Put, error) {
	if !newest.Apart {
		return newest.Puts, nil
	}
	var snapshot *Snapshot
	var data []byte
	for place, failed := 0, 0; failed < len(holders); {
		entry := holders[place%len(holders)]
		request := &ReadRequest{Claim: o.claim(s, epoch, set, entry), Installed: newest.Installed, Seq: newest.Seq, Offset: uint64(len(data))}
		reply, err := o.disk(entry).Read(base.NewCtx(o.clock, o.bounds.Load().DiskLimit()), request)
		if err != nil || !reply.Ack.Ok || len(reply.Data) == 0 || snapshot != nil && !snapshot.Equal(reply.Snapshot) {
			o.counters.Add("content_reads_failed", 1)
			place, failed = place+1, failed+1
			continue
		}
		snapshot, data = reply.Snapshot, append(data, reply.Data...)
		if uint64(len(data)) < snapshot.Size {
			failed = 0
			continue
		}
		if puts, whole := snapshot.Decode(data); whole {
			return puts, nil
		}
		snapshot, data = nil, nil
		place, failed = place+1, failed+1
	}
	return nil, base.Busy(503, "content_unread", 1, "no disk gave the newest content whole")
}

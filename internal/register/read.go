package register

import (
	"sync"

	"fordseam/internal/base"
)

// promiseSet collects the promises of a takeover and keeps the newest content
// among them.
type promiseSet struct {
	mu      sync.Mutex
	best    *PromiseReply // the promise with the newest content
	ageMs   int64         // how long a disk has held that content, at most
	holders []*DiskEntry  // the disks that hold it
}

// add adds a promise. If several disks hold the newest content, its age is that
// at the disk that has held it the longest.
func (p *promiseSet) add(entry *DiskEntry, reply *PromiseReply) {
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

// newest returns the promise with the newest content so far, the age of that
// content, and the disks that hold it.
func (p *promiseSet) newest() (best *PromiseReply, ageMs int64, holders []*DiskEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.best, p.ageMs, p.holders
}

// readNewestContent returns the content that the newest promise describes. Small
// content comes with the promise itself. Large content is read in parts from one
// of its holders; it cannot change meanwhile, since the disk accepts changes
// under no lower epoch any more. If a holder fails, another one with the same
// epoch and sequence number continues at the same offset.
func (srv *Server) readNewestContent(s *shard, epoch uint64, set *DiskSet, newest *PromiseReply, holders []*DiskEntry) ([]*Put, error) {
	if !newest.Apart {
		return newest.Puts, nil
	}
	var snapshot *Snapshot
	var data []byte
	for index, failures := 0, 0; failures < len(holders); {
		entry := holders[index%len(holders)]
		request := &ReadRequest{Claim: srv.claim(s, epoch, set, entry), Installed: newest.Installed, Seq: newest.Seq, Offset: uint64(len(data))}
		reply, err := srv.diskClient(entry).Read(base.NewCtx(srv.clock, srv.bounds.Load().DiskTimeout()), request)
		if err != nil || !reply.Ack.Ok || len(reply.Data) == 0 || snapshot != nil && !snapshot.Equal(reply.Snapshot) {
			srv.counters.Add("content_reads_failed", 1)
			index, failures = index+1, failures+1
			continue
		}
		snapshot, data = reply.Snapshot, append(data, reply.Data...)
		if uint64(len(data)) < snapshot.Size {
			failures = 0
			continue
		}
		if puts, valid := snapshot.Decode(data); valid {
			return puts, nil
		}
		snapshot, data = nil, nil
		index, failures = index+1, failures+1
	}
	return nil, base.Busy(503, "content_unread", 1, "the content of shard %d at epoch %d, change %d could not be read from any of %d disks", s.num, newest.Installed, newest.Seq, len(holders))
}

package ledger

import (
	"container/list"
	"hash/crc32"
	"io"
	"slices"
	"time"

	"fordseam/internal/disk"

	"github.com/apex/log"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// payload is the input and the output of a turn.
type payload struct{ input, output []byte }

func (p *payload) size() int { return len(p.input) + len(p.output) }

// recordLocation is where the log has a record, with a checksum of its bytes.
type recordLocation struct {
	disk.Location
	size     int
	checksum uint32
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// writtenTurn is a turn in a batch; the offset of its record is relative to the batch.
type writtenTurn struct {
	turn *turn
	at   recordLocation
}

// payloadCache keeps the payloads of turns in memory. Those that are in the log give way when
// there are too many, the ones that were not used for longest first.
type payloadCache struct {
	limit int // in bytes; 0 means no bound
	size  int
	used  *list.List // of *turn, the last used first; those that may give way
}

func newPayloadCache(limit int) payloadCache { return payloadCache{limit: limit, used: list.New()} }

// put sets the payload of a turn. It cannot give way until the turn is in the log.
func (c *payloadCache) put(t *turn, p *payload) {
	c.drop(t)
	t.payload = p
	c.size += p.size()
	if t.at.size > 0 {
		t.cached = c.used.PushFront(t)
	}
	c.evict()
}

// markWritten records where the log has a turn, whose payload may give way from now on.
func (c *payloadCache) markWritten(t *turn, at recordLocation) {
	t.at = at
	if t.payload != nil && t.cached == nil && !t.removed {
		t.cached = c.used.PushFront(t)
	}
	c.evict()
}

// touch records that the payload of a turn was used.
func (c *payloadCache) touch(t *turn) {
	if t.cached != nil {
		c.used.MoveToFront(t.cached)
	}
}

// drop removes the payload of a turn from memory.
func (c *payloadCache) drop(t *turn) {
	if t.payload == nil {
		return
	}
	c.size -= t.payload.size()
	t.payload = nil
	if t.cached != nil {
		c.used.Remove(t.cached)
		t.cached = nil
	}
}

func (c *payloadCache) evict() {
	for c.limit > 0 && c.size > c.limit && c.used.Len() > 0 {
		c.drop(c.used.Back().Value.(*turn))
	}
}

// loadTries is how often a payload is read whose record moves in the log meanwhile.
const loadTries = 3

var (
	errTurnRemoved = errors.New("the turn has expired")
	// errCorruptTurn means that the log has lost a turn.
	errCorruptTurn = errors.New("the record of a turn is corrupt")
)

// load returns the payload of a turn, from the log if it is not in memory. The caller must not
// hold the lock.
func (s *Store) load(t *turn) (*payload, error) {
	var err error
	var at recordLocation
	for range loadTries {
		s.mu.Lock()
		cached, removed := t.payload, t.removed
		at = t.at
		s.payloads.touch(t)
		s.mu.Unlock()
		switch {
		case cached != nil:
			return cached, nil
		case removed:
			return nil, errTurnRemoved
		}
		var loaded *payload
		if loaded, err = s.readPayload(t.id, at); err == nil {
			s.mu.Lock()
			if t.payload == nil && !t.removed {
				s.payloads.put(t, loaded)
			}
			s.mu.Unlock()
			return loaded, nil
		}
	}
	s.counters.Add("ledger_unreadable", 1)
	if err == errCorruptTurn {
		s.forgetCorrupt(t, at)
	}
	return nil, err
}

// forgetCorrupt removes a turn whose record is corrupt, and has everything that this store
// lacks pulled from the others again. A turn that has moved in the log is not corrupt.
func (s *Store) forgetCorrupt(t *turn, at recordLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.removed || t.payload != nil || t.at != at {
		return
	}
	log.WithFields(log.Fields{"segment": at.Generation, "offset": at.Offset}).Error("a turn in the ledger's log is corrupt, pulling it from other stores")
	t.program.turns = slices.DeleteFunc(t.program.turns, func(other *turn) bool { return other == t })
	s.removeTurn(t)
	s.damaged, s.completeStamp, s.peers = true, 0, map[string]*peerState{}
	s.counters.Add("ledger_damaged", 1)
	s.appendMarks()
	s.commitNotifier.Notify()
	s.setNotifier.Notify()
}

// readPayload reads the payload of a turn from the log.
func (s *Store) readPayload(id string, at recordLocation) (*payload, error) {
	data, err := disk.ReadSegment(s.files, at.Location, at.size)
	if cause := errors.Cause(err); cause == io.EOF || cause == io.ErrUnexpectedEOF {
		return nil, errCorruptTurn
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if crc32.Checksum(data, checksumTable) != at.checksum {
		return nil, errCorruptTurn
	}
	var record Record
	if err := proto.Unmarshal(data, &record); err != nil {
		return nil, errCorruptTurn
	}
	s.counters.Add("ledger_payloads_read", 1)
	for _, t := range record.Turns {
		if t.Id == id {
			return &payload{t.Input, t.Output}, nil
		}
	}
	return nil, errCorruptTurn
}

// loadTurns completes messages of turns with their payloads. It returns false if one cannot
// be read; those that have expired meanwhile are left out.
func (s *Store) loadTurns(selected []selectedTurn) (messages []*Turn, ok bool) {
	for _, entry := range selected {
		loaded, err := s.load(entry.turn)
		switch {
		case err == errTurnRemoved:
			continue
		case err != nil:
			return nil, false
		}
		entry.message.Input, entry.message.Output = loaded.input, loaded.output
		messages = append(messages, entry.message)
	}
	return messages, true
}

// selectedTurn is a turn with its message, which has no payload yet.
type selectedTurn struct {
	turn    *turn
	message *Turn
}

func (t *turn) selected(until int64) selectedTurn {
	return selectedTurn{t, &Turn{Program: t.program.id, Session: t.session, Id: t.id, Previous: t.previous, UntilMs: until}}
}

// payloadSize returns the size of the payloads of turns.
func payloadSize(selected []selectedTurn) (size int) {
	for _, entry := range selected {
		size += entry.turn.size
	}
	return size
}

// prepareRewrite reads the payloads that the next call of rewriteOldest will need.
func (s *Store) prepareRewrite() {
	s.mu.Lock()
	due := []*turn{}
	if oldest, ok := s.rewriteDue(); ok && s.segments[oldest] != nil {
		size := 0
		for _, t := range s.segments[oldest].turns {
			if size >= rewriteBatchBytes {
				break
			}
			if !t.removed && t.segment == oldest {
				size += t.size
				due = append(due, t)
			}
		}
	}
	s.mu.Unlock()
	rewriting := map[*turn]*payload{}
	failed := false
	for _, t := range due {
		loaded, err := s.load(t)
		if err == nil {
			rewriting[t] = loaded
		}
		failed = failed || err != nil && err != errTurnRemoved && err != errCorruptTurn
	}
	s.mu.Lock()
	s.rewriting = rewriting
	if failed {
		s.rewriteAfter = s.clock.Now() + rewritePause
	}
	s.mu.Unlock()
}

// rewritePause is how long the rewriting of a segment rests after one of its turns could not
// be read.
const rewritePause = time.Second

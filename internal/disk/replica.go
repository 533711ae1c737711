// A shard's replica in memory: records applied, and its snapshot's encoding.

package disk

import (
	"maps"
	"time"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// replica is this machine's copy of one shard.
type replica struct {
	consensus.ShardState
	values map[string][]byte
	// touched is when this process took in the newest of it.
	touched time.Duration
	// staged is what has come of a content that is being sent in parts, encoded
	// the content as it is being read in parts.
	staged  *Staged
	encoded *encoding
}

func (s *Store) replicaOf(slot uint32) *replica {
	held, ok := s.replicas[slot]
	if !ok {
		held = &replica{values: map[string][]byte{}, touched: s.clock.Now()}
		s.replicas[slot] = held
	}
	return held
}

func (r *replica) put(puts []*register.Put) {
	for _, put := range puts {
		if put.Gone {
			delete(r.values, put.Key)
		} else {
			r.values[put.Key] = put.Value
		}
	}
}

// apply puts one entry in force. A log may hold again what the slot before it
// covers, so what is already in force changes nothing.
func (s *Store) apply(kind byte, payload []byte) error {
	switch kind {
	case kindFormat:
		var message register.DiskState
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		if s.id == "" {
			s.id, s.set = message.Id, message.Set
			s.tell()
		}
	case kindAdopt:
		var message register.DiskSet
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		if s.set.GetStamp() > message.Stamp {
			return nil
		}
		s.set = &message
		s.tell()
		if !s.member() {
			s.replicas = map[uint32]*replica{}
		}
	case kindPromise:
		var message register.Claim
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Slot)
		held.ShardState = held.Promise(message.Epoch, message.Owner)
	case kindInstall:
		var message register.InstallRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		next, taken := held.Install(message.Claim.Epoch, message.Claim.Owner, message.Seq)
		if !taken {
			return nil
		}
		s.install(held, next, message.Puts)
	case kindPart:
		var message register.InstallPartRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		s.applyPart(&message)
	case kindAppend:
		var message register.AppendRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		held := s.replicaOf(message.Claim.Slot)
		for _, entry := range message.Entries {
			next, taken := held.Append(message.Claim.Epoch, entry.Seq)
			if !taken {
				continue
			}
			held.ShardState, held.encoded = next, nil
			held.put(entry.Puts)
			held.touched = s.clock.Now()
		}
	default:
		return errors.Errorf("unknown record kind %d", kind)
	}
	return nil
}

func replicaTime(held *replica) string { return string(held.values[register.TimeKey]) }

func (r *replica) puts() []*register.Put {
	puts := make([]*register.Put, 0, len(r.values))
	for _, key := range base.SortedKeys(r.values) {
		puts = append(puts, &register.Put{Key: key, Value: r.values[key]})
	}
	return puts
}

// encodeFrame writes the whole state down. Values are never changed in place,
// so the lock is held only while the tables are copied.
func (s *Store) encodeFrame() []byte {
	s.mu.Lock()
	frame := &Frame{Id: s.id, Set: s.set}
	copies := make([]*replica, 0, len(s.replicas))
	slots := base.SortedKeys(s.replicas)
	for _, slot := range slots {
		held := *s.replicas[slot]
		held.values = maps.Clone(held.values)
		copies = append(copies, &held)
	}
	s.mu.Unlock()
	for place, held := range copies {
		frame.Replicas = append(frame.Replicas, &Replica{Slot: slots[place], Promised: held.Promised, Owner: held.Leader,
			Installed: held.Installed, Seq: held.Seq, Puts: held.puts(), Staged: held.staged})
	}
	payload, err := proto.Marshal(frame)
	if err != nil {
		panic(err)
	}
	return payload
}

func (s *Store) readFrame(payload []byte) error {
	var frame Frame
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return errors.Trace(err)
	}
	s.id, s.set = frame.Id, frame.Set
	for _, found := range frame.Replicas {
		held := s.replicaOf(found.Slot)
		held.ShardState = consensus.ShardState{Promised: found.Promised, Leader: found.Owner, Installed: found.Installed, Seq: found.Seq}
		held.staged = found.Staged
		held.put(found.Puts)
	}
	return nil
}

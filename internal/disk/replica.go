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

// replica is this disk's copy of one shard, in memory.
type replica struct {
	consensus.ShardState
	values map[string][]byte
	// updatedAt is the clock reading when this process applied the newest change.
	updatedAt time.Duration
	// staged holds the parts received so far of a snapshot that is being installed.
	staged *Staged
	// encoded caches the encoding of the content while it is read in parts.
	encoded *encodedSnapshot
}

// replicaFor returns the replica of a shard, creating it if necessary. The caller
// holds the lock.
func (s *Store) replicaFor(shard uint32) *replica {
	r, ok := s.replicas[shard]
	if !ok {
		r = &replica{values: map[string][]byte{}, updatedAt: s.clock.Now()}
		s.replicas[shard] = r
	}
	return r
}

// applyPuts applies puts and deletions to the content.
func (r *replica) applyPuts(puts []*register.Put) {
	for _, put := range puts {
		if put.Gone {
			delete(r.values, put.Key)
		} else {
			r.values[put.Key] = put.Value
		}
	}
}

// applyEntry applies one log entry to the state in memory. A log may repeat entries
// that the checkpoint already covers, so applying an entry again changes nothing.
func (s *Store) applyEntry(kind byte, payload []byte) error {
	switch kind {
	case kindFormat:
		var message register.DiskState
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		if s.id == "" {
			s.id, s.set = message.Id, message.Set
			s.notifyIdentityChange()
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
		s.notifyIdentityChange()
		if !s.isMember() {
			s.replicas = map[uint32]*replica{}
		}
	case kindPromise:
		var message register.Claim
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		r := s.replicaFor(message.Slot)
		r.ShardState = r.Promise(message.Epoch, message.Owner)
	case kindInstall:
		var message register.InstallRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		r := s.replicaFor(message.Claim.Slot)
		next, installed := r.Install(message.Claim.Epoch, message.Claim.Owner, message.Seq)
		if !installed {
			return nil
		}
		s.installContent(r, next, message.Puts)
	case kindInstallPart:
		var message register.InstallPartRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		s.applyInstallPart(&message)
	case kindAppend:
		var message register.AppendRequest
		if err := proto.Unmarshal(payload, &message); err != nil {
			return errors.Trace(err)
		}
		r := s.replicaFor(message.Claim.Slot)
		for _, entry := range message.Entries {
			next, appended := r.Append(message.Claim.Epoch, entry.Seq)
			if !appended {
				continue
			}
			r.ShardState, r.encoded = next, nil
			r.applyPuts(entry.Puts)
			r.updatedAt = s.clock.Now()
		}
	default:
		return errors.Errorf("unknown log entry kind %d", kind)
	}
	return nil
}

// timeValue returns the value of the shard's time key.
func timeValue(r *replica) string { return string(r.values[register.TimeKey]) }

// sortedPuts returns the content as puts, in the order of their keys.
func (r *replica) sortedPuts() []*register.Put {
	puts := make([]*register.Put, 0, len(r.values))
	for _, key := range base.SortedKeys(r.values) {
		puts = append(puts, &register.Put{Key: key, Value: r.values[key]})
	}
	return puts
}

// encodeCheckpoint encodes the whole state. Values are never changed in place, so
// the lock is held only while the maps are copied.
func (s *Store) encodeCheckpoint() []byte {
	s.mu.Lock()
	checkpoint := &Frame{Id: s.id, Set: s.set}
	copies := make([]*replica, 0, len(s.replicas))
	shards := base.SortedKeys(s.replicas)
	for _, shard := range shards {
		r := *s.replicas[shard]
		r.values = maps.Clone(r.values)
		copies = append(copies, &r)
	}
	s.mu.Unlock()
	for i, r := range copies {
		checkpoint.Replicas = append(checkpoint.Replicas, &Replica{Slot: shards[i], Promised: r.Promised, Owner: r.Leader,
			Installed: r.Installed, Seq: r.Seq, Puts: r.sortedPuts(), Staged: r.staged})
	}
	payload, err := proto.Marshal(checkpoint)
	if err != nil {
		panic(err)
	}
	return payload
}

// restoreCheckpoint decodes the payload of a checkpoint into the store.
func (s *Store) restoreCheckpoint(payload []byte) error {
	var checkpoint Frame
	if err := proto.Unmarshal(payload, &checkpoint); err != nil {
		return errors.Trace(err)
	}
	s.id, s.set = checkpoint.Id, checkpoint.Set
	for _, saved := range checkpoint.Replicas {
		r := s.replicaFor(saved.Slot)
		r.ShardState = consensus.ShardState{Promised: saved.Promised, Leader: saved.Owner, Installed: saved.Installed, Seq: saved.Seq}
		r.staged = saved.Staged
		r.applyPuts(saved.Puts)
	}
	return nil
}

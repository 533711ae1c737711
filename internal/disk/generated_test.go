// Generated runs of messages to a replica over the real store, with power lost
// between any two messages and in the middle of any sync, against a reference
// that keeps what was answered.
package disk

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"fordseam/internal/base"
	"fordseam/internal/consensus"
	"fordseam/internal/register"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	generatedSlot    = 3
	generatedEpochs  = 4
	generatedNumbers = 6
	generatedEntries = 3
)

// message is one that a leader sends.
type message struct {
	kind   byte
	epoch  uint64
	leader string
	seq    uint64
	count  uint64
}

// reference is what the replica must hold.
type reference struct {
	shard  consensus.ShardState
	values map[string]string
}

func (r reference) copy() reference {
	return reference{shard: r.shard, values: maps.Clone(r.values)}
}

// valueOf tells the content of one change from any other's.
func valueOf(epoch, seq uint64) (key, value string) {
	return fmt.Sprint("key-", seq%2), fmt.Sprint(epoch, "/", seq)
}

func putOf(epoch, seq uint64) *register.Put {
	key, value := valueOf(epoch, seq)
	return &register.Put{Key: key, Value: []byte(value)}
}

// after is the reference after a message, and what the replica answers to it.
func (r reference) after(sent message) (reference, consensus.Rejection) {
	self := consensus.Identity{ID: "replica", SetVersion: 1}
	claim := consensus.Claim{Epoch: sent.epoch, Leader: sent.leader, SetVersion: 1, Replica: "replica"}
	if rejection := consensus.CheckClaim(self, r.shard, claim); rejection != consensus.Accepted {
		return r, rejection
	}
	next := r.copy()
	switch sent.kind {
	case kindPromise:
		next.shard = r.shard.Promise(sent.epoch, sent.leader)
	case kindInstall:
		next.shard = r.shard.Promise(sent.epoch, sent.leader)
		if shard, taken := r.shard.Install(sent.epoch, sent.leader, sent.seq); taken {
			key, value := valueOf(sent.epoch, sent.seq)
			next = reference{shard: shard, values: map[string]string{key: value}}
		}
	case kindAppend:
		if rejection := consensus.CheckAppend(r.shard, sent.epoch, sent.seq); rejection != consensus.Accepted {
			return r, rejection
		}
		for seq := sent.seq; seq < sent.seq+sent.count; seq++ {
			if shard, taken := next.shard.Append(sent.epoch, seq); taken {
				key, value := valueOf(sent.epoch, seq)
				next.shard, next.values[key] = shard, value
			}
		}
	}
	return next, consensus.Accepted
}

// deliver hands a message to the replica and gives its answer.
func (b *bench) deliver(sent message) *register.Ack {
	claim := b.claim(sent.epoch, sent.leader)
	ctx := context.Background()
	switch sent.kind {
	case kindPromise:
		reply, err := b.service.Promise(ctx, &register.PromiseRequest{Claim: claim})
		b.is.NoErr(err)
		return reply.Ack
	case kindInstall:
		ack, err := b.service.Install(ctx, &register.InstallRequest{Claim: claim, Seq: sent.seq, Puts: []*register.Put{putOf(sent.epoch, sent.seq)}})
		b.is.NoErr(err)
		return ack
	}
	request := &register.AppendRequest{Claim: claim}
	for seq := sent.seq; seq < sent.seq+sent.count; seq++ {
		request.Entries = append(request.Entries, &register.Entry{Seq: seq, Puts: []*register.Put{putOf(sent.epoch, seq)}})
	}
	ack, err := b.service.Append(ctx, request)
	b.is.NoErr(err)
	return ack
}

// held is what the replica holds.
func (b *bench) held() reference {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	found := b.store.replicaOf(generatedSlot)
	values := map[string]string{}
	for key, value := range found.values {
		values[key] = string(value)
	}
	return reference{shard: found.ShardState, values: values}
}

func (r reference) equals(other reference) bool {
	return r.shard == other.shard && maps.Equal(r.values, other.values)
}

// reopen starts the replica again on files.
func (b *bench) reopen(files *memory) {
	b.finish()
	store, err := Open(base.NewRealClock(), files, base.NewCounters())
	b.is.NoErr(err)
	b.files, b.store = files, store
	b.service = NewService(store, b.service.limit)
}

var messages = rapid.Custom(func(t *rapid.T) message {
	return message{
		kind:   rapid.SampledFrom([]byte{kindPromise, kindInstall, kindAppend}).Draw(t, "kind"),
		epoch:  rapid.Uint64Range(1, generatedEpochs).Draw(t, "epoch"),
		leader: rapid.SampledFrom([]string{"one", "other"}).Draw(t, "leader"),
		seq:    rapid.Uint64Range(1, generatedNumbers).Draw(t, "seq"),
		count:  rapid.Uint64Range(1, generatedEntries).Draw(t, "count"),
	}
})

func TestGeneratedMessagesAndPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bench := openBench(is.New(t), newMemory())
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "sectors"), 0))
		want := reference{values: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"message": func(t *rapid.T) {
				sent := messages.Draw(t, "message")
				next, rejection := want.after(sent)
				ack := bench.deliver(sent)
				if ack.Why != string(rejection) || ack.Ok != (rejection == consensus.Accepted) {
					t.Fatalf("%+v was answered %v %q, wanted %q", sent, ack.Ok, ack.Why, rejection)
				}
				want = next
			},
			"power lost": func(_ *rapid.T) {
				bench.finish()
				bench.reopen(bench.files.powerLost(chance))
			},
			"power lost in a sync": func(t *rapid.T) {
				sent := messages.Draw(t, "message")
				next, _ := want.after(sent)
				files := bench.files
				var kept *memory
				files.before = func(string) {
					if kept == nil {
						kept = files.powerLost(chance)
					}
				}
				bench.deliver(sent)
				if kept == nil {
					kept = files.copy() // nothing was written
				}
				bench.reopen(kept)
				if bench.held().equals(next) {
					want = next // it was kept, though nobody was told
				}
			},
			"": func(t *rapid.T) {
				if found := bench.held(); !found.equals(want) {
					t.Fatalf("the replica holds %+v, wanted %+v", found, want)
				}
			},
		})
		bench.finish()
	})
}

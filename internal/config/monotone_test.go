package config

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/wire"
)

// published is a document that some replica of the service may return.
type published struct {
	version uint64
	text    []byte
	valid   bool
}

// TestStoresNeverRevert checks that no store returns to an older version or replaces
// a document by another one with the same version. Stores receive versions from stale
// replicas, and replies of peers that are lost, late or repeated. Two operators may
// publish different texts under one version, and some texts are invalid.
func TestStoresNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		last := make([]Snapshot, len(stores))
		var documents []published
		var replies []wire.ConfigReply
		store := rapid.IntRange(0, len(stores)-1)

		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version := rapid.Uint64Range(1, 12).Draw(t, "version")
				operator := rapid.Uint64Range(0, 1).Draw(t, "operator")
				p := published{version: version, text: document(100*version + operator), valid: true}
				if rapid.IntRange(0, 4).Draw(t, "faulty") == 0 {
					p.text, p.valid = fmt.Appendf(nil, "model m%d\n", operator), false
				}
				documents = append(documents, p)
			},
			"read": func(t *rapid.T) {
				if len(documents) == 0 {
					t.Skip()
				}
				p := rapid.SampledFrom(documents).Draw(t, "document")
				s := stores[store.Draw(t, "store")]
				before := s.Version()
				outcome, _ := s.Offer(p.version, p.text, "service")
				if applied := p.valid && p.version > before; applied != (outcome == Applied) {
					t.Fatalf("Offer() of version %d over %d, valid %v = %v", p.version, before, p.valid, outcome)
				}
			},
			"answer": func(t *rapid.T) {
				responder, requester := stores[store.Draw(t, "giver")], stores[store.Draw(t, "asker")]
				reply, err := responder.Answer(requester.Request(), true)
				if err != nil {
					t.Fatal(err)
				}
				replies = append(replies, reply)
			},
			"deliver": func(t *rapid.T) {
				if len(replies) == 0 {
					t.Skip()
				}
				reply := rapid.SampledFrom(replies).Draw(t, "reply")
				stores[store.Draw(t, "store")].OfferReply(reply, "peer")
			},
			"": func(t *rapid.T) {
				for i, s := range stores {
					checkSuccessor(t, &last[i], s.Current(), documents)
				}
			},
		})
	})
}

// checkSuccessor checks that the snapshot in force is a valid published document and
// a permitted successor of the last one.
func checkSuccessor(t *rapid.T, last, current *Snapshot, documents []published) {
	if current == nil {
		return
	}
	if current.Version < last.Version || current.Version == last.Version && current.Digest != last.Digest {
		t.Fatalf("version %d with digest %s came into force after version %d with digest %s", current.Version, current.Digest, last.Version, last.Digest)
	}
	for _, p := range documents {
		if p.valid && p.version == current.Version && Digest(p.text) == current.Digest {
			*last = *current
			return
		}
	}
	t.Fatalf("version %d is in force but no valid document of that version and digest was published", current.Version)
}

// registerInput is one operation on a register: an offer of a version, or a read.
type registerInput struct {
	instance fleet.InstanceID
	offer    uint64
}

// maxRegister models a register that holds the highest version offered. A read
// returns exactly this version.
var maxRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if offer := input.(registerInput).offer; offer != 0 {
			return true, max(state.(uint64), offer)
		}
		return output.(uint64) == state.(uint64), state
	},
}

// monotonicRegister models the version of one instance. A read never returns a lower
// version than an earlier read, even after a restart.
var monotonicRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[fleet.InstanceID][]porcupine.Operation)
		for _, operation := range history {
			id := operation.Input.(registerInput).instance
			parts[id] = append(parts[id], operation)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// TestStoreIsLinearizable checks that concurrent offers and reads are linearizable as
// operations on a maximum register.
func TestStoreIsLinearizable(t *testing.T) {
	const workers, operations = 6, 40
	s := NewStore()
	started := time.Now()
	histories := make([][]porcupine.Operation, workers)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for range operations {
				input := registerInput{}
				operation := porcupine.Operation{ClientId: worker, Call: int64(time.Since(started))}
				if random.IntN(2) == 0 {
					input.offer = 1 + random.Uint64N(200)
					s.Offer(input.offer, document(input.offer), "service")
				}
				operation.Input, operation.Output = input, s.Version()
				if input.offer != 0 {
					operation.Output = uint64(0)
				}
				operation.Return = int64(time.Since(started))
				histories[worker] = append(histories[worker], operation)
			}
		})
	}
	group.Wait()
	var history []porcupine.Operation
	for _, part := range histories {
		history = append(history, part...)
	}
	if !porcupine.CheckOperations(maxRegister, history) {
		t.Error("the history is not linearizable as that of a maximum register")
	}
}

// TestRestartWhileServiceIsStale guards against an instance that takes work with an
// older version than before its restart. Instances restart with an empty store while
// the service returns an old version and messages are lost.
func TestRestartWhileServiceIsStale(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(3, 3, seed)
			random := rand.New(rand.NewPCG(seed, 2))
			f.setLoss(10)
			f.service.publish(1)
			f.startAll()
			time.Sleep(20 * time.Second)
			var history []porcupine.Operation
			started := time.Now()
			for version := uint64(2); version < 8; version++ {
				f.service.set(func(s *testService) { s.stale = 0 })
				f.service.publish(version)
				time.Sleep(maxPropagationTime)
				f.service.set(func(s *testService) { s.stale = 1 + random.Uint64N(version) })
				instance := f.list.Instances[random.IntN(len(f.list.Instances))]
				f.kill(instance.ID)
				f.start(instance)
				for range 80 {
					time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
					history = append(history, f.readAll(int64(time.Since(started)))...)
				}
			}
			f.stopAll()
			if !porcupine.CheckOperations(monotonicRegister, history) {
				t.Errorf("seed %d: an instance used an older version after a newer one", seed)
			}
		})
	}
}

// readAll returns a read operation for each instance that takes work.
func (f *testFleet) readAll(at int64) []porcupine.Operation {
	var all []porcupine.Operation
	for _, instance := range f.list.Instances {
		if n := f.node(instance.ID); n != nil && n.watcher.Settled() {
			all = append(all, porcupine.Operation{
				Input: registerInput{instance: n.id}, Call: at, Output: n.store.Version(), Return: at,
			})
		}
	}
	return all
}

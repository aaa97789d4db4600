package enginemodel_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/enginemodel"
)

// firstToken steps e until the first token of r and returns the time that this takes.
func firstToken(t *testing.T, e *enginemodel.Engine, r *enginemodel.Request) time.Duration {
	var total time.Duration
	for range 100000 {
		took, events := e.Step()
		total += took
		for _, event := range events {
			if event.Request == r && event.FirstToken {
				return total
			}
		}
	}
	t.Fatal("no first token after 100000 steps")
	return 0
}

// request returns a request with one shared part and one part of its own.
func request(shared, own uint64, sharedTokens, ownTokens, output int) *enginemodel.Request {
	return &enginemodel.Request{
		Parts:        []enginemodel.Part{{Key: shared, Tokens: sharedTokens}, {Key: own, Tokens: ownTokens}},
		OutputTokens: output,
	}
}

// A prefilled part stays cached, so that the next request with it gets its first token
// sooner.
func TestCachedPartSkipsPrefill(t *testing.T) {
	e := enginemodel.New(enginemodel.PublishedParams())
	first, second := request(1, 2, 5000, 6600, 1), request(1, 3, 5000, 6600, 1)
	e.Submit(first)
	cold := firstToken(t, e, first)
	e.Submit(second)
	warm := firstToken(t, e, second)
	if saved := cold - warm; saved < 5000*time.Millisecond/67 {
		t.Errorf("first token after %v without and %v with the cached part; prefill of its 5000 tokens takes 75 ms", cold, warm)
	}
	if s := e.Stats(); s.CachedTokens != 5000 {
		t.Errorf("stats %+v, want 5000 cached tokens", s)
	}
}

// A long prompt is prefilled in chunks, so that other requests still get a token in every
// step.
func TestLongPromptPrefilledInChunks(t *testing.T) {
	e := enginemodel.New(enginemodel.PublishedParams())
	stream := request(1, 2, 10, 10, 1000)
	e.Submit(stream)
	firstToken(t, e, stream)
	long := request(3, 4, 10, 40000, 1)
	e.Submit(long)
	for range 15 {
		took, events := e.Step()
		if took > 60*time.Millisecond || len(events) != 1 {
			t.Fatalf("a step took %v and generated %d tokens during the prefill of a long prompt; want at most 60 ms and 1 token", took, len(events))
		}
	}
}

// With little memory, requests are preempted and parts evicted, and every submitted
// request must still complete.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := enginemodel.PublishedParams()
		p.MemoryTokens = 3000
		p.Slots = rapid.IntRange(1, 20).Draw(t, "slots")
		e := enginemodel.New(p)
		submitted, ended := 0, 0
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			shared := uint64(rapid.IntRange(1, 4).Draw(t, "shared"))
			r := request(shared, uint64(100+i), 200, rapid.IntRange(1, 1500).Draw(t, "own"), rapid.IntRange(1, 900).Draw(t, "output"))
			if e.Submit(r) {
				submitted++
			}
		}
		for range 200000 {
			if e.Idle() {
				break
			}
			_, events := e.Step()
			for _, event := range events {
				if event.LastToken {
					ended++
				}
			}
		}
		if ended != submitted || !e.Idle() {
			t.Fatalf("%d of %d requests completed", ended, submitted)
		}
	})
}

// Cancelling a running request frees its slot for the next one.
func TestCancelFreesSlot(t *testing.T) {
	p := enginemodel.PublishedParams()
	p.Slots = 1
	e := enginemodel.New(p)
	first, second := request(1, 2, 10, 10, 100000), request(1, 3, 10, 10, 1)
	e.Submit(first)
	firstToken(t, e, first)
	e.Submit(second)
	e.Cancel(first)
	firstToken(t, e, second)
}

// Submit rejects a request that needs more memory than the engine has.
func TestOversizedRequestRejected(t *testing.T) {
	e := enginemodel.New(enginemodel.PublishedParams())
	if e.Submit(request(1, 2, 10, 600000, 1)) {
		t.Error("a prompt larger than the memory was accepted")
	}
}

func BenchmarkStep(b *testing.B) {
	e := enginemodel.New(enginemodel.PublishedParams())
	for i := range 64 {
		e.Submit(request(1, uint64(i+2), 100, 100, 1<<30))
	}
	for b.Loop() {
		e.Step()
	}
}

// A fetched part must count as cached, or a replay shows no gain of fetches.
func TestImportedPartIsNotPrefilled(t *testing.T) {
	e := enginemodel.New(enginemodel.PublishedParams())
	parts := []enginemodel.Part{{Key: 1, Tokens: 5000}, {Key: 2, Tokens: 100}}
	e.Import(parts[:1])
	if n := e.Cached(parts); n != 1 {
		t.Fatalf("%d parts are cached, want 1", n)
	}
	e.Submit(&enginemodel.Request{Parts: parts, OutputTokens: 1})
	for !e.Idle() {
		e.Step()
	}
	if s := e.Stats(); s.PrefillTokens != 100 || s.CachedTokens != 5000 {
		t.Errorf("%+v, want 100 tokens prefilled", s)
	}
}

package dispatch

import (
	"errors"
	"slices"
	"testing"
	"time"

	"medlarwind.dev/medlarwind/internal/fleet"
	"pgregory.net/rapid"
)

// prefixCache is an Affinity with one cached prefix for each target.
type prefixCache map[fleet.TargetID]uint64

func (p prefixCache) Cached(t fleet.TargetID, prefixes []uint64) int {
	if slices.Contains(prefixes, p[t]) {
		return 1
	}
	return 0
}

// TestQueueProperties compares the queue with a plain list. Bounds hold, a refusal has
// a retry time, no request is lost or returned twice, Demand is complete, and no
// request that has waited MaxReorderAge is overtaken.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := QueueParams{MaxPerCustomer: 5, MaxTotal: 8, ReservedPerCustomer: 1, MaxReorderAge: 3 * time.Second}
		q := NewQueue(p, prefixCache{"a": 1, "b": 2})
		now := time.Unix(1000, 0)
		var list []Request
		customers := []fleet.CustomerID{"x", "y", "z"}
		count := func(c fleet.CustomerID) (n int) {
			for _, r := range list {
				if r.Customer == c {
					n++
				}
			}
			return n
		}
		drop := func(id uint64) {
			list = slices.DeleteFunc(list, func(r Request) bool { return r.ID == id })
		}
		id := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id++
				r := Request{ID: id, Customer: rapid.SampledFrom(customers).Draw(t, "c"), Workload: model(rapid.IntRange(0, 1).Draw(t, "w")), Enqueued: now}
				r.PrefixHashes = []uint64{rapid.Uint64Range(1, 3).Draw(t, "prefix")}
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second)
				n := count(r.Customer)
				room := n < p.MaxPerCustomer && (len(list) < p.MaxTotal || n < p.ReservedPerCustomer)
				err := q.Add(r, now)
				var full *QueueFullError
				if (err == nil) != room || (err != nil && (!errors.As(err, &full) || full.RetryAfter < MinRetryAfter || full.RetryAfter > MaxRetryAfter)) {
					t.Fatalf("customer has %d of %d waiting requests, Add returned %v", n, len(list), err)
				}
				if room {
					list = append(list, r)
				}
			},
			"take": func(t *rapid.T) {
				c, w := rapid.SampledFrom(customers).Draw(t, "c"), model(rapid.IntRange(0, 1).Draw(t, "w"))
				target := rapid.SampledFrom([]fleet.TargetID{"a", "b"}).Draw(t, "t")
				i := slices.IndexFunc(list, func(r Request) bool { return r.Customer == c && r.Workload == w })
				r, ok := q.Take(c, w, target, now)
				if ok != (i >= 0) {
					t.Fatalf("Take returned %v, oldest request is at index %d", ok, i)
				}
				if !ok {
					return
				}
				if oldest := list[i]; oldest.ID != r.ID && (now.Sub(oldest.Enqueued) >= p.MaxReorderAge || q.affinity.Cached(target, r.PrefixHashes) == 0) {
					t.Fatalf("request %d overtook %d, which waited %v", r.ID, oldest.ID, now.Sub(oldest.Enqueued))
				}
				drop(r.ID)
			},
			"remove": func(t *rapid.T) {
				removed := rapid.Uint64Range(0, id).Draw(t, "id")
				waiting := slices.ContainsFunc(list, func(r Request) bool { return r.ID == removed })
				if q.Remove(removed) != waiting {
					t.Fatalf("Remove(%d) returned the wrong result, request waiting: %v", removed, waiting)
				}
				drop(removed)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				for _, r := range q.TakeExpired(now) {
					if r.Deadline.After(now) {
						t.Fatalf("request %d expired early", r.ID)
					}
					drop(r.ID)
				}
			},
			"": func(t *rapid.T) {
				waiting := 0
				for _, d := range q.Demand(now) {
					waiting += d.Waiting
				}
				if waiting != len(list) || q.Len() != len(list) {
					t.Fatalf("demand %d, length %d, want %d", waiting, q.Len(), len(list))
				}
				for _, r := range list {
					if !r.Deadline.IsZero() && r.Deadline.Before(now) {
						t.Fatalf("request %d is past its deadline", r.ID)
					}
				}
			},
		})
	})
}

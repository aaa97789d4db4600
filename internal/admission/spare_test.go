package admission_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwind.dev/medlarwind/internal/admission"
)

// A customer over its share must never be kept from a target that has room, and must not get more than one that used
// less.
func TestLimitShrinksDownToRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := admission.Spare{
			Objective: time.Duration(rapid.IntRange(0, 2000).Draw(t, "objective")) * time.Millisecond,
			Used:      rapid.Float64Range(0, 1e9).Draw(t, "used"),
			Effective: rapid.Float64Range(0, 1e8).Draw(t, "effective"),
			Lead:      rapid.SampledFrom([]float64{1, 1e6, 1e8, math.Inf(1)}).Draw(t, "lead"),
			HasRoom:   rapid.Bool().Draw(t, "room"),
			Late:      rapid.Bool().Draw(t, "late"),
		}
		limit, room := s.Limit(), admission.Room(s.Objective)
		if limit.Wait < room.Wait || limit.Slots < room.Slots || limit.Slots > 1 {
			t.Fatalf("%+v gives %+v, want at least %+v", s, limit, room)
		}
		if s.Objective > 0 && limit.Wait > s.Objective/2 {
			t.Fatalf("%+v lets a request wait %s, more than half of its objective", s, limit.Wait)
		}
		more := s
		more.Used *= rapid.Float64Range(1, 10).Draw(t, "factor")
		if l := more.Limit(); l.Wait > limit.Wait || l.Slots > limit.Slots {
			t.Fatalf("%+v gives %+v, but %+v with more usage", s, limit, l)
		}
	})
}

// A starved customer must not hold others back while it could start its requests, and must do so otherwise.
func TestLeadCountsOnlyWithoutRoom(t *testing.T) {
	s := admission.Spare{Objective: 800 * time.Millisecond, Used: 1e6, Effective: 1e6, Lead: 5e5}
	free := s
	free.Lead = math.Inf(1)
	if held := s.Limit(); held.Wait >= free.Limit().Wait || held.Slots >= free.Limit().Slots {
		t.Errorf("limit %+v of a customer ahead of a starved one, want less than %+v", held, free.Limit())
	}
	if s.HasRoom = true; s.Limit() != free.Limit() {
		t.Errorf("limit %+v while there is room for the starved customer, want %+v", s.Limit(), free.Limit())
	}
}

package replay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/wire"
)

// refusal says that a call was turned away and when it may come back.
type refusal struct{ retryAfter time.Duration }

func (r *refusal) Error() string { return fmt.Sprintf("refused, retry after %s", r.retryAfter) }

// ticket is the right to run a call on an engine.
type ticket interface {
	engine() fleet.TargetID
	// read notes the first token, end the end of the run.
	read()
	end(err error)
}

// policy decides for all routers which call runs where and when.
type policy interface {
	// admit waits until a call may start. elapsed is the time since its first try.
	admit(ctx context.Context, x *call, router int, elapsed time.Duration) (ticket, error)
	// exchange passes on what routers tell each other; it is called every 200 ms.
	exchange()
	// tick is called every 20 ms.
	tick()
	// restarted says that an engine came back with nothing.
	restarted(id fleet.TargetID)
}

// routers is the product's policy: a scheduler for each router.
type routers struct {
	spec       Spec
	now        clock.Source
	service    *catalog.Service
	schedulers []*scheduler.Scheduler
	hellos     []wire.Hello
	targets    []inventory.Target
	// alone keeps the routers from telling each other anything.
	alone bool
}

func centreOf(region int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprint("dc-", region)) }

func newRouters(s Spec, engines []*engine, alone bool) *routers {
	p := &routers{
		spec: s, now: clock.Monotonic(), alone: alone,
		service: &catalog.Service{ID: "lm", Engine: &catalog.Engine{Slots: s.Engine.Slots, MemoryTokens: s.Engine.MemoryTokens}},
	}
	regions := make(map[fleet.DataCentreID]fleet.RegionID)
	for r := range s.Regions {
		regions[centreOf(r)] = fleet.RegionID(fmt.Sprint("region-", r))
	}
	for _, e := range engines {
		p.targets = append(p.targets, inventory.Target{
			ID: e.id, StartMillis: 1, Service: "lm", Addr: "10.0.0.1:1", DataCentre: centreOf(e.region), Slots: s.Engine.Slots,
		})
	}
	configuration := catalog.New(catalog.Config{
		Version: 1, Services: []catalog.Service{*p.service}, Limits: catalog.Limits{TokensPerSecond: s.TokensPerSecond},
	})
	var members []roster.Member
	for i := range s.Routers {
		centre := centreOf(i / (s.Routers / s.Regions))
		hello := wire.Hello{Instance: fleet.InstanceID(fmt.Sprint("router-", i)), Incarnation: fleet.Incarnation(i + 1), DataCentre: centre}
		p.hellos = append(p.hellos, hello)
		members = append(members, roster.Member{ID: hello.Instance, DataCentre: centre})
		p.schedulers = append(p.schedulers, scheduler.New(scheduler.Options{
			Self: hello.Instance, DataCentre: centre, Regions: regions, Now: p.now,
			ShareWindow: shareWindow, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		}))
	}
	for _, s := range p.schedulers {
		s.SetCatalog(configuration)
		s.SetTargets(p.targets, nil)
		s.SetAlive(members)
	}
	return p
}

func (p *routers) admit(ctx context.Context, x *call, router int, elapsed time.Duration) (ticket, error) {
	now := p.now()
	j := &scheduler.Job{
		ID: fmt.Sprint(x.id), Route: x.class.route(), Service: p.service, Customer: x.customer, AnyRegion: true,
		Prompt: x.prompt, Output: x.output, Parts: x.parts, Fingerprint: uint64(x.id) + 1,
		Arrived: now, Deadline: now.Add(x.class.CallerTimeout - elapsed), Elapsed: elapsed, CallerTimeout: x.class.CallerTimeout,
	}
	s := p.schedulers[router]
	s.RecordArrival(j)
	placement, err := s.Admit(ctx, j, false)
	if err != nil {
		var refused *scheduler.Refusal
		if !errors.As(err, &refused) {
			return nil, err
		}
		return nil, &refusal{retryAfter: refused.RetryAfter}
	}
	return &placed{placement}, nil
}

func (p *routers) exchange() {
	if p.alone {
		return
	}
	for i, from := range p.schedulers {
		for k, to := range p.schedulers {
			if i == k {
				continue
			}
			hb := &wire.Heartbeat{Incarnation: p.hellos[i].Incarnation}
			from.FillHeartbeat(hb, p.hellos[k].Instance, wire.ScopeOwn)
			to.HandleHeartbeat(p.hellos[i], hb)
		}
	}
}

func (p *routers) tick() {
	for _, s := range p.schedulers {
		s.Tick()
	}
}

func (p *routers) restarted(id fleet.TargetID) {
	for i := range p.targets {
		if p.targets[i].ID == id {
			p.targets[i].StartMillis++
		}
	}
	for _, s := range p.schedulers {
		s.SetTargets(p.targets, nil)
	}
}

// placed is a scheduler's placement as a ticket.
type placed struct{ p *scheduler.Placement }

func (t *placed) engine() fleet.TargetID { return t.p.Target.ID }
func (t *placed) read()                  { t.p.PrefillDone() }

func (t *placed) end(err error) {
	switch {
	case err == nil:
		t.p.End(scheduler.Completed)
	case errors.Is(err, errFull):
		t.p.End(scheduler.Rejected)
	case errors.Is(err, errDown):
		t.p.End(scheduler.Broken)
	default:
		t.p.End(scheduler.Abandoned)
	}
}

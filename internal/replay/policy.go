package replay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/internal/catalog"
	"medlarwind.dev/medlarwind/internal/clock"
	"medlarwind.dev/medlarwind/internal/feature"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/inventory"
	"medlarwind.dev/medlarwind/internal/membership"
	"medlarwind.dev/medlarwind/internal/roster"
	"medlarwind.dev/medlarwind/internal/scheduler"
	"medlarwind.dev/medlarwind/internal/wire"
)

// refusal is the error for a call that was refused and may be retried after a delay.
type refusal struct{ retryAfter time.Duration }

func (r *refusal) Error() string { return fmt.Sprintf("refused, retry after %s", r.retryAfter) }

// ticket is the permission to run a call on an engine.
type ticket interface {
	engine() fleet.TargetID
	// fetchFrom is the engine from which to fetch what is cached there, empty for none.
	fetchFrom() fleet.TargetID
	// prefillDone records the first token, end the end of the run.
	prefillDone()
	end(err error)
}

// policy decides for all routers where and when each call runs.
type policy interface {
	// admit waits until a call may start. It returns a *refusal if the call is refused.
	// elapsed is the time since the first attempt.
	admit(ctx context.Context, x *call, router int, elapsed time.Duration) (ticket, error)
	// exchange sends the heartbeats between routers. It is called every 200 ms.
	exchange()
	// tick runs periodic work. It is called every 20 ms.
	tick()
	// engineRestarted reports that an engine came back with an empty cache.
	engineRestarted(id fleet.TargetID)
}

// routers is the policy of the product, with one scheduler for each router.
type routers struct {
	spec       Spec
	now        clock.Source
	service    *catalog.Service
	schedulers []*scheduler.Scheduler
	hellos     []wire.Hello
	targets    []inventory.Target
	// noExchange disables heartbeats between the routers.
	noExchange bool
}

func dataCentreOf(region int) fleet.DataCentreID {
	return fleet.DataCentreID(fmt.Sprint("dc-", region))
}

func newRouters(s Spec, engines []*engine, noExchange bool, features feature.Set) *routers {
	p := &routers{
		spec: s, now: clock.Monotonic(), noExchange: noExchange,
		service: &catalog.Service{ID: "lm", Engine: &catalog.Engine{
			Slots: s.Engine.Slots, MemoryTokens: s.Engine.MemoryTokens, TokenBytes: s.TokenBytes, LinkMbps: s.LinkMbps,
		}},
	}
	regions := make(map[fleet.DataCentreID]fleet.RegionID)
	for r := range s.Regions {
		regions[dataCentreOf(r)] = fleet.RegionID(fmt.Sprint("region-", r))
	}
	for _, e := range engines {
		p.targets = append(p.targets, inventory.Target{
			ID: e.id, StartMillis: 1, Service: "lm", Addr: string(e.id), DataCentre: dataCentreOf(e.region), Slots: s.Engine.Slots,
		})
	}
	configuration := catalog.New(catalog.Config{
		Version: 1, Services: []catalog.Service{*p.service}, Limits: catalog.Limits{TokensPerSecond: s.TokensPerSecond},
	})
	var members []roster.Member
	for i := range s.Routers {
		centre := dataCentreOf(i / (s.Routers / s.Regions))
		hello := wire.Hello{Instance: fleet.InstanceID(fmt.Sprint("router-", i)), Incarnation: fleet.Incarnation(i + 1), DataCentre: centre}
		p.hellos = append(p.hellos, hello)
		members = append(members, roster.Member{ID: hello.Instance, DataCentre: centre})
		p.schedulers = append(p.schedulers, scheduler.New(scheduler.Options{
			Self: hello.Instance, DataCentre: centre, Regions: regions, Now: p.now,
			ShareWindow: shareWindow, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, Features: features,
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
	return &schedulerTicket{placement}, nil
}

func (p *routers) exchange() {
	if p.noExchange {
		return
	}
	for i, from := range p.schedulers {
		for k, to := range p.schedulers {
			if i == k {
				continue
			}
			hb := &wire.Heartbeat{Incarnation: p.hellos[i].Incarnation}
			from.FillHeartbeat(hb, p.hellos[k].Instance, wire.ScopeOwn)
			if p.spec.HeartbeatDelay == 0 {
				to.HandleHeartbeat(p.hellos[i], hb)
				continue
			}
			// Heartbeats between two routers stay in order.
			delay := time.Duration(membership.Hash(fmt.Sprint(i, "/", k)) % uint64(p.spec.HeartbeatDelay))
			time.AfterFunc(delay, func() { to.HandleHeartbeat(p.hellos[i], hb) })
		}
	}
}

func (p *routers) tick() {
	for _, s := range p.schedulers {
		s.Tick()
	}
}

func (p *routers) engineRestarted(id fleet.TargetID) {
	for i := range p.targets {
		if p.targets[i].ID == id {
			p.targets[i].StartMillis++
		}
	}
	for _, s := range p.schedulers {
		s.SetTargets(p.targets, nil)
	}
}

// schedulerTicket is a ticket for a placement of a scheduler.
type schedulerTicket struct{ p *scheduler.Placement }

func (t *schedulerTicket) engine() fleet.TargetID { return t.p.Target.ID }
func (t *schedulerTicket) fetchFrom() fleet.TargetID {
	// Addresses of the simulation's engines are their ids.
	return fleet.TargetID(t.p.Fetch.Addr())
}
func (t *schedulerTicket) prefillDone() { t.p.PrefillDone() }

func (t *schedulerTicket) end(err error) {
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

//go:build !race

package faults

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"medlarwind.dev/medlarwind/client"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/limit"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Sizes of one history.
const (
	historySeeds   = 24
	historyIDs     = 6
	historySenders = 3
	historySends   = 8
	historyFaults  = 16
	checkTimeout   = 30 * time.Second
)

// sending is one use of a call id, or one look at how often its call ran.
type sending struct {
	id   string
	body string
	look bool
}

// seen is what a sending or a look told; outcome is 0 for an answer.
type seen struct {
	outcome client.Kind
	answer  string
	runs    int
	// reason helps to read a history that is not legal.
	reason string
}

// onceRegister is a register for each call id: empty, then for good the body with
// which the call ran. "Not run" is legal only while it is empty, an answer only from
// the one run, and an unknown outcome may or may not have been the run.
var onceRegister = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range history {
			id := op.Input.(sending).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(string), input.(sending), output.(seen)
		legal := false
		switch {
		case in.look:
			legal = out.runs == 0 && ran == "" || out.runs == 1 && ran != ""
		case out.outcome == client.NotRun:
			legal = ran == ""
		case ran != "":
			legal = out.outcome != 0 || out.answer == ran
		case out.outcome == 0 && out.answer == in.body:
			return []any{in.body}
		case out.outcome != 0:
			return []any{"", in.body}
		}
		if !legal {
			return nil
		}
		return []any{ran}
	},
}

// history collects operations in virtual time.
type history struct {
	world *world
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(caller int, in sending, begun time.Time, out seen) {
	op := porcupine.Operation{
		ClientId: caller,
		Input:    in,
		Output:   out,
		Call:     begun.UnixNano(),
		Return:   time.Now().UnixNano(),
	}
	if out.outcome != 0 && out.outcome != client.NotRun {
		// The call may still run after its caller was told that nothing is known.
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// send uses a call id once.
func (h *history) send(caller int, c *client.Client, id client.CallID, body string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(h.world.ctx, timeout)
	defer cancel()
	begun := time.Now()
	answer, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte(body))
	out := seen{answer: string(answer)}
	if err != nil {
		out.outcome = max(kindOf(err), client.NotRun)
		out.reason = err.Error()
	}
	if err != nil && kindOf(err) == 0 {
		h.world.t.Errorf("an error without an outcome: %v", err)
	}
	h.add(caller, sending{id: id.ID, body: body}, begun, out)
}

// look counts the runs of a call at the services.
func (h *history) look(id client.CallID) {
	runs := 0
	for _, s := range h.world.fleet.Services {
		runs += s.Runs(id.ID)
	}
	h.add(historySenders, sending{id: id.ID, look: true}, time.Now(), seen{runs: runs})
}

func (h *history) lookAll(ids []client.CallID) {
	for _, id := range ids {
		h.look(id)
	}
}

func (w *world) memberAt(addr string) *localfleet.Member {
	for _, m := range w.fleet.Members {
		if m.CallerAddr == addr {
			return m
		}
	}
	w.t.Fatalf("no instance at %s", addr)
	return nil
}

func (w *world) serviceIn(centre fleet.DataCentreID) *localfleet.ServiceMember {
	for _, s := range w.fleet.Services {
		if s.DataCentre == centre {
			return s
		}
	}
	w.t.Fatalf("no service in %s", centre)
	return nil
}

// disturb brings a random fault about where a call id lives and ends it after a random
// time.
func (h *history) disturb(rng *rand.Rand, callers []string, id client.CallID) {
	w := h.world
	m := w.memberAt(id.Address)
	entry := []string{w.ip(string(m.ID))}
	s := w.serviceIn(m.DataCentre)
	service := []string{w.ip(string(s.ID))}
	pause := time.Duration(rng.IntN(400)) * time.Millisecond
	switch rng.IntN(8) {
	case 0:
		w.restart(m)
	case 1:
		w.fleet.Kill(m)
		time.Sleep(pause)
		w.restart(m)
	case 2:
		w.net.Reset(entry, callers)
	case 3:
		w.net.Reset(entry, service)
	case 4:
		w.net.Blackhole(entry, service)
	case 5:
		w.net.Partition(entry, callers, memnet.PartitionMode(rng.IntN(2)))
		time.Sleep(pause)
		w.net.Heal(entry, callers)
	case 6:
		w.net.ResetAfter(entry[0], service[0], rng.Int64N(600))
	case 7:
		s.SetFault([]standin.CallFault{standin.CallRefused, standin.CallFailed, standin.CallAborted}[rng.IntN(3)])
		time.Sleep(pause)
		s.SetFault(standin.CallOK)
	}
}

// TestHistoryOfOnceCalls sends the same call ids at once from several callers, with
// two bodies, while instances die and connections break.
func TestHistoryOfOnceCalls(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHistory(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runHistory(t *testing.T, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	w := newWorld(t, ctx)
	defer w.close()
	w.warmUp()
	for _, s := range w.fleet.Services {
		s.SetDelay(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	h := &history{world: w}
	var callers []string
	var clients []*client.Client
	for range historySenders {
		callers = append(callers, w.ip(w.caller()))
		clients = append(clients, w.fleet.Client(fmt.Sprintf("caller-%d", w.callers), w.fleet.Spec.Customers[0], w.fleet.Members[rng.IntN(6)]))
	}
	var group sync.WaitGroup
	var ids []client.CallID
	for range historyIDs {
		id, err := clients[rng.IntN(historySenders)].IssueCallID(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if rng.IntN(2) == 0 {
			// An id that was handed on as text.
			id = client.CallID{ID: id.ID, Address: id.Address}
		}
		ids = append(ids, id)
		for caller, c := range clients {
			own := rand.New(rand.NewPCG(rng.Uint64(), 2))
			group.Go(func() { h.sendOften(own, caller, c, id) })
		}
	}
	for range historyFaults {
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		h.disturb(rng, callers, ids[rng.IntN(historyIDs)])
		h.lookAll(ids)
	}
	group.Wait()
	time.Sleep(3 * time.Minute)
	h.lookAll(ids)
	if result := porcupine.CheckOperationsTimeout(onceRegister.ToModel(), h.ops, checkTimeout); result != porcupine.Ok {
		t.Errorf("the history is %s:", result)
		for _, op := range h.ops {
			t.Logf("%d: %+v -> %+v at %d", op.ClientId, op.Input, op.Output, op.Call)
		}
	}
}

// sendOften resends one call at random moments, at times with another body or at the
// wrong instance.
func (h *history) sendOften(rng *rand.Rand, caller int, c *client.Client, id client.CallID) {
	for range historySends {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		used := id
		if rng.IntN(4) == 0 {
			used = client.CallID{ID: id.ID, Address: h.world.fleet.Members[rng.IntN(6)].CallerAddr}
		}
		body := "lot 7"
		if rng.IntN(4) == 0 {
			body = "lot 8"
		}
		h.send(caller, c, used, body, time.Duration(50+rng.IntN(3000))*time.Millisecond)
	}
}

// TestOnceCallBrokenAtEachByte breaks the connection after each byte between caller
// and entry and between entry and service, in both directions.
func TestOnceCallBrokenAtEachByte(t *testing.T) {
	for _, part := range []int{0, 1, 2, 3} {
		t.Run([]string{"caller to entry", "entry to caller", "entry to service", "service to entry"}[part], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { breakEverywhere(t, part) })
		})
	}
}

func breakEverywhere(t *testing.T, part int) {
	ctx, cancel := context.WithTimeout(context.Background(), 24*time.Hour)
	defer cancel()
	w := newWorld(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	caller, entry := w.ip(p.caller), w.ip(string(p.entry.ID))
	service := w.ip(string(w.fleet.Services[0].ID))
	d := [][2]string{{caller, entry}, {entry, caller}, {entry, service}, {service, entry}}[part]
	length, _ := w.onceBroken(p, -1, d)
	if length < 100 {
		t.Fatalf("the call sent only %d bytes", length)
	}
	unanswered := 0
	for at := range length {
		// The start that the last break took is free again after the report's lag;
		// before, the call may go to another service.
		time.Sleep(limit.DefaultParams().ReportLag + time.Second)
		if _, answered := w.onceBroken(p, at, d); !answered {
			unanswered++
		}
	}
	t.Logf("%d boundaries, %d calls without an answer at first", length, unanswered)
	if int64(unanswered) < length*9/10 {
		t.Errorf("only %d of %d breaks were noticed", unanswered, length)
	}
}

// onceBroken sends one call that breaks after so many bytes, then sends it again, and
// checks that it ran at most once and that no outcome is false. It returns the bytes
// of the first sending in the direction, and whether that was answered.
func (w *world) onceBroken(p *probe, at int64, d [2]string) (sent int64, answered bool) {
	addresses, err := p.client.Locate(w.ctx)
	if err != nil || addresses[0] != p.entry.CallerAddr {
		w.t.Fatalf("the caller is sent to %v, %v", addresses, err)
	}
	id, err := p.client.IssueCallID(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	h := &history{world: w}
	body := fmt.Sprintf("lot %4d", at)
	before := w.net.BytesSent(d[0], d[1])
	w.net.ResetAfter(d[0], d[1], at)
	h.send(0, p.client, id, body, 20*time.Second)
	w.net.ResetAfter(d[0], d[1], -1)
	sent = w.net.BytesSent(d[0], d[1]) - before
	h.look(id)
	h.send(1, p.client, id, body, 20*time.Second)
	h.look(id)
	if !porcupine.CheckOperations(onceRegister.ToModel(), h.ops) {
		w.t.Errorf("broken after %d bytes: %+v", at, h.ops)
	}
	return sent, h.ops[0].Output.(seen).outcome == 0
}

// TestResendsAreToldNoFalseNotRun resends a call that runs while no connection can be
// made, and one that ran while its instance starts again.
func TestResendsAreToldNoFalseNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		w := newWorld(t, ctx)
		defer w.close()
		w.warmUp()
		for _, s := range w.fleet.Services {
			s.SetDelay(time.Second)
		}
		entry := w.fleet.Members[0]
		dial := w.net.Host(w.ip(w.caller())).Dial
		var cutOff atomic.Bool
		c := client.New(client.Options{
			Seeds:  []string{entry.CallerAddr},
			Secret: w.fleet.Spec.Customers[0].Secret(),
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				if cutOff.Load() {
					return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EHOSTUNREACH}
				}
				return dial(ctx, network, addr)
			},
		})
		defer c.Close()
		id, err := c.IssueCallID(ctx)
		if err != nil {
			t.Fatal(err)
		}
		h := &history{world: w}
		var group sync.WaitGroup
		group.Go(func() { h.send(0, c, id, "lot 7", 10*time.Second) })
		time.Sleep(500 * time.Millisecond)
		h.look(id)
		time.Sleep(time.Millisecond)
		cutOff.Store(true)
		h.send(1, c, id, "lot 7", 10*time.Second)
		cutOff.Store(false)
		group.Wait()
		w.restart(w.memberAt(id.Address))
		for range 100 {
			h.send(1, c, id, "lot 7", 10*time.Second)
		}
		h.look(id)
		if !porcupine.CheckOperations(onceRegister.ToModel(), h.ops) {
			t.Errorf("the history is illegal: %+v", h.ops)
		}
	})
}

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

// Parameters of one history.
const (
	historySeeds   = 24
	historyIDs     = 6
	historySenders = 3
	historySends   = 8
	historyFaults  = 16
	checkTimeout   = 30 * time.Second
)

// callInput is one use of a call id, or one query for the number of runs of its call.
type callInput struct {
	id        string
	body      string
	countRuns bool
}

// callOutput is the result of a use or a query; outcome is 0 for an answer.
type callOutput struct {
	outcome client.Kind
	answer  string
	runs    int
	// reason explains the outcome when an illegal history is printed.
	reason string
}

// callModel models each call id as a write-once register: it is empty until the call
// runs, and holds the body of that run from then on. "Not run" is legal only while the
// register is empty, an answer only if it comes from the one run, and an unknown
// outcome whether the call ran or not.
var callModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range history {
			id := op.Input.(callInput).id
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
		ran, in, out := state.(string), input.(callInput), output.(callOutput)
		legal := false
		switch {
		case in.countRuns:
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

// history collects operations with their times in virtual time.
type history struct {
	env *testEnv
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(caller int, in callInput, begun time.Time, out callOutput) {
	op := porcupine.Operation{
		ClientId: caller,
		Input:    in,
		Output:   out,
		Call:     begun.UnixNano(),
		Return:   time.Now().UnixNano(),
	}
	if out.outcome != 0 && out.outcome != client.NotRun {
		// The call may still run after its caller got an unknown outcome.
		op.Return = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// send sends the call once under its id and records the outcome.
func (h *history) send(caller int, c *client.Client, id client.CallID, body string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(h.env.ctx, timeout)
	defer cancel()
	begun := time.Now()
	answer, err := c.CallOnce(ctx, id, string(localfleet.ServiceName), "settle", []byte(body))
	out := callOutput{answer: string(answer)}
	if err != nil {
		out.outcome = max(errorKind(err), client.NotRun)
		out.reason = err.Error()
	}
	if err != nil && errorKind(err) == 0 {
		h.env.t.Errorf("an error without an outcome: %v", err)
	}
	h.add(caller, callInput{id: id.ID, body: body}, begun, out)
}

// countRuns records the number of runs of a call at the services.
func (h *history) countRuns(id client.CallID) {
	runs := 0
	for _, s := range h.env.fleet.Services {
		runs += s.Runs(id.ID)
	}
	h.add(historySenders, callInput{id: id.ID, countRuns: true}, time.Now(), callOutput{runs: runs})
}

func (h *history) countAllRuns(ids []client.CallID) {
	for _, id := range ids {
		h.countRuns(id)
	}
}

func (w *testEnv) memberAt(addr string) *localfleet.Member {
	for _, m := range w.fleet.Members {
		if m.CallerAddr == addr {
			return m
		}
	}
	w.t.Fatalf("no instance at %s", addr)
	return nil
}

func (w *testEnv) serviceIn(centre fleet.DataCentreID) *localfleet.ServiceMember {
	for _, s := range w.fleet.Services {
		if s.DataCentre == centre {
			return s
		}
	}
	w.t.Fatalf("no service in %s", centre)
	return nil
}

// injectRandomFault injects a random fault at the instance or service of a call id.
// Faults that last end after a random time.
func (h *history) injectRandomFault(rng *rand.Rand, callers []string, id client.CallID) {
	w := h.env
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

// TestHistoryOfOnceCalls guards against calls that run twice or get a false outcome. It
// sends the same call ids concurrently from several callers, with two bodies, while
// instances crash and connections break.
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
	w := newTestEnv(t, ctx)
	defer w.close()
	w.warmUp()
	for _, s := range w.fleet.Services {
		s.SetDelay(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	h := &history{env: w}
	var callers []string
	var clients []*client.Client
	for range historySenders {
		callers = append(callers, w.ip(w.newCaller()))
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
			// An id that was passed on as text.
			id = client.CallID{ID: id.ID, Address: id.Address}
		}
		ids = append(ids, id)
		for caller, c := range clients {
			own := rand.New(rand.NewPCG(rng.Uint64(), 2))
			group.Go(func() { h.resend(own, caller, c, id) })
		}
	}
	for range historyFaults {
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		h.injectRandomFault(rng, callers, ids[rng.IntN(historyIDs)])
		h.countAllRuns(ids)
	}
	group.Wait()
	time.Sleep(3 * time.Minute)
	h.countAllRuns(ids)
	if result := porcupine.CheckOperationsTimeout(callModel.ToModel(), h.ops, checkTimeout); result != porcupine.Ok {
		t.Errorf("the result of the history check is %s:", result)
		for _, op := range h.ops {
			t.Logf("%d: %+v -> %+v at %d", op.ClientId, op.Input, op.Output, op.Call)
		}
	}
}

// resend sends one call again at random times, sometimes with another body or to the
// wrong instance.
func (h *history) resend(rng *rand.Rand, caller int, c *client.Client, id client.CallID) {
	for range historySends {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		used := id
		if rng.IntN(4) == 0 {
			used = client.CallID{ID: id.ID, Address: h.env.fleet.Members[rng.IntN(6)].CallerAddr}
		}
		body := "lot 7"
		if rng.IntN(4) == 0 {
			body = "lot 8"
		}
		h.send(caller, c, used, body, time.Duration(50+rng.IntN(3000))*time.Millisecond)
	}
}

// TestOnceCallBrokenAtEachByte checks that a call runs at most once and gets no false
// outcome if the connection breaks after any byte between caller and entry or between
// entry and service, in both directions.
func TestOnceCallBrokenAtEachByte(t *testing.T) {
	for _, part := range []int{0, 1, 2, 3} {
		t.Run([]string{"caller to entry", "entry to caller", "entry to service", "service to entry"}[part], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { breakAtEachByte(t, part) })
		})
	}
}

func breakAtEachByte(t *testing.T, part int) {
	ctx, cancel := context.WithTimeout(context.Background(), 24*time.Hour)
	defer cancel()
	w := newTestEnv(t, ctx)
	defer w.close()
	p := w.newProbe()
	w.warmUp()
	caller, entry := w.ip(p.caller), w.ip(string(p.entry.ID))
	service := w.ip(string(w.fleet.Services[0].ID))
	d := [][2]string{{caller, entry}, {entry, caller}, {entry, service}, {service, entry}}[part]
	length, _ := w.callBrokenAfter(p, -1, d)
	if length < 100 {
		t.Fatalf("the call transferred only %d bytes", length)
	}
	unanswered := 0
	for at := range length {
		// The start permit that the last broken call used is free again after the report
		// lag; until then the call may go to another service.
		time.Sleep(limit.DefaultParams().ReportLag + time.Second)
		if _, answered := w.callBrokenAfter(p, at, d); !answered {
			unanswered++
		}
	}
	t.Logf("%d byte positions, %d calls without an answer to the first attempt", length, unanswered)
	if int64(unanswered) < length*9/10 {
		t.Errorf("only %d of %d breaks left the first attempt unanswered", unanswered, length)
	}
}

// callBrokenAfter sends one call on a connection that breaks after at bytes, sends it
// again and checks that it ran at most once and that no outcome is false. It returns
// the number of bytes of the first attempt in the direction d, and whether that attempt
// was answered.
func (w *testEnv) callBrokenAfter(p *probe, at int64, d [2]string) (sent int64, answered bool) {
	addresses, err := p.client.Locate(w.ctx)
	if err != nil || addresses[0] != p.entry.CallerAddr {
		w.t.Fatalf("the caller is directed to %v, %v", addresses, err)
	}
	id, err := p.client.IssueCallID(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	h := &history{env: w}
	body := fmt.Sprintf("lot %4d", at)
	before := w.net.BytesSent(d[0], d[1])
	w.net.ResetAfter(d[0], d[1], at)
	h.send(0, p.client, id, body, 20*time.Second)
	w.net.ResetAfter(d[0], d[1], -1)
	sent = w.net.BytesSent(d[0], d[1]) - before
	h.countRuns(id)
	h.send(1, p.client, id, body, 20*time.Second)
	h.countRuns(id)
	if !porcupine.CheckOperations(callModel.ToModel(), h.ops) {
		w.t.Errorf("illegal history for a connection broken after %d bytes: %+v", at, h.ops)
	}
	return sent, h.ops[0].Output.(callOutput).outcome == 0
}

// TestResendsAreToldNoFalseNotRun guards against a false "not run" outcome. It resends a
// running call while no connection can be made, and a finished one while its instance
// restarts.
func TestResendsAreToldNoFalseNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		w := newTestEnv(t, ctx)
		defer w.close()
		w.warmUp()
		for _, s := range w.fleet.Services {
			s.SetDelay(time.Second)
		}
		entry := w.fleet.Members[0]
		dial := w.net.Host(w.ip(w.newCaller())).Dial
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
		h := &history{env: w}
		var group sync.WaitGroup
		group.Go(func() { h.send(0, c, id, "lot 7", 10*time.Second) })
		time.Sleep(500 * time.Millisecond)
		h.countRuns(id)
		time.Sleep(time.Millisecond)
		cutOff.Store(true)
		h.send(1, c, id, "lot 7", 10*time.Second)
		cutOff.Store(false)
		group.Wait()
		w.restart(w.memberAt(id.Address))
		for range 100 {
			h.send(1, c, id, "lot 7", 10*time.Second)
		}
		h.countRuns(id)
		if !porcupine.CheckOperations(callModel.ToModel(), h.ops) {
			t.Errorf("the history is illegal: %+v", h.ops)
		}
	})
}

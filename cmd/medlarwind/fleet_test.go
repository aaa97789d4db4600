//go:build linux

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"medlarwind.dev/medlarwind/client"
	medlarwindv1 "medlarwind.dev/medlarwind/gen/medlarwind/v1"
	"medlarwind.dev/medlarwind/internal/cli"
	"medlarwind.dev/medlarwind/internal/fleet"
	"medlarwind.dev/medlarwind/internal/instance"
	"medlarwind.dev/medlarwind/internal/localfleet"
	"medlarwind.dev/medlarwind/internal/standin"
)

// Sizes of the fleet of processes. The engines would run far more at once than
// their limit allows.
const (
	engineLimit = 4
	coldLimit   = 1
	engineBatch = 64
)

// member is one instance of the fleet of processes.
type member struct {
	*process
	id                       fleet.InstanceID
	callers, peers, operator string
	settings                 string
}

// processFleet is a whole fleet of processFleet: the platform, an engine and a service
// stand-in in each of two data centres, and three instances.
type processFleet struct {
	t        *testing.T
	dir      string
	spec     localfleet.Spec
	list     fleet.List
	members  []*member
	engines  []string
	services []string
	// prompts counts prompts, so that each is another.
	prompts int
}

// startFleet starts all processes and waits until every instance is ready.
func startFleet(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, dir: t.TempDir(), spec: localfleet.Spec{
		DataCentres: []localfleet.DataCentre{
			{ID: "north", Region: "r1", Instances: 2, Engines: 1, Services: 1},
			{ID: "south", Region: "r2", Instances: 1, Engines: 1, Services: 1},
		},
		Customers: []localfleet.Customer{
			{ID: "mill-a", Share: 1, Queue: 64},
			{ID: "mill-b", Share: 1, Queue: 64},
		},
		Limit:     engineLimit,
		ColdLimit: coldLimit,
	}}
	platform := reserve(t)
	for _, d := range f.spec.DataCentres {
		f.startTargets(d)
		for n := range d.Instances {
			f.addMember(d, n, platform)
		}
	}
	rules := f.write("rules", f.spec.Rules())
	f.list.Version = 1
	raw, err := json.Marshal(f.list)
	if err != nil {
		t.Fatal(err)
	}
	list := f.write("list.json", raw)
	start(t, "platform", "standin", "platform", "-addr", platform, "-rules", rules, "-list", list)
	for _, m := range f.members {
		f.startMember(m)
	}
	for _, m := range f.members {
		f.awaitReady(m)
	}
	f.warmUp()
	return f
}

func (f *processFleet) write(name string, text []byte) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *processFleet) startTargets(d localfleet.DataCentre) {
	engine, service := reserve(f.t), reserve(f.t)
	name := string(d.ID)
	start(f.t, name+"-e1", "standin", "engine", "-addr", engine, "-name", name+"-e1",
		"-batch", fmt.Sprint(engineBatch), "-cold", fmt.Sprint(coldLimit))
	start(f.t, name+"-s1", "standin", "service", "-addr", service, "-delay", "1s")
	f.engines = append(f.engines, engine)
	f.services = append(f.services, service)
	f.list.Targets = append(f.list.Targets,
		fleet.ListedTarget{ID: fleet.TargetID(name + "-e1"), DataCentre: d.ID, Addr: engine, State: fleet.StateLive},
		fleet.ListedTarget{ID: fleet.TargetID(name + "-s1"), DataCentre: d.ID, Addr: service, State: fleet.StateLive})
}

func (f *processFleet) addMember(d localfleet.DataCentre, n int, platform string) {
	m := &member{
		id:       fleet.InstanceID(fmt.Sprintf("%s-i%d", d.ID, n+1)),
		callers:  reserve(f.t),
		peers:    reserve(f.t),
		operator: reserve(f.t),
	}
	m.settings = f.write(string(m.id)+".jsonc", fmt.Appendf(nil, `{
	"instance": %q, "data_centre": %q, "region": %q,
	"caller_addr": %q, "peer_addr": %q, "operator_addr": %q, "platform_addr": %q,
	"data_centres": [{"id": "north", "region": "r1"}, {"id": "south", "region": "r2"}],
	"locate_lifetime": "8s", "drain_timeout": "1m", "config_start_wait": "500ms",
}`, m.id, d.ID, d.Region, m.callers, m.peers, m.operator, platform))
	f.members = append(f.members, m)
	f.list.Instances = append(f.list.Instances, fleet.ListedInstance{
		ID: m.id, DataCentre: d.ID, CallerAddr: m.callers, PeerAddr: m.peers, State: fleet.StateLive,
	})
}

// startMember starts an instance with nothing of a former run.
func (f *processFleet) startMember(m *member) {
	m.process = start(f.t, string(m.id), "serve", "-settings", m.settings)
}

// status is an instance's own view; false while it does not answer.
func (m *member) status() (s instance.Status, answered bool) {
	err := fetch(m.operator, instance.PathStatus, &s)
	return s, err == nil
}

// awaitReady waits until an instance takes new work and is connected to all others.
func (f *processFleet) awaitReady(m *member) {
	f.t.Helper()
	eventually(f.t, string(m.id)+" is ready", func() bool {
		s, answered := m.status()
		connected := 0
		for _, p := range s.Peers {
			if p.Connected {
				connected++
			}
		}
		return answered && s.Ready && connected == len(f.members)-1
	})
}

// warmUp sends requests until both engines are ready and may be used up to their
// limit.
func (f *processFleet) warmUp() {
	f.t.Helper()
	north, south := f.client(0, f.members[0]), f.client(0, f.members[2])
	eventually(f.t, "both engines are warm and in use", func() bool {
		f.mustServe(north, 4)
		f.mustServe(south, 4)
		usable := make(map[fleet.TargetID]bool)
		for _, m := range f.members {
			s, _ := m.status()
			for _, row := range s.Targets {
				if row.State == fleet.TargetReady && row.Owner == m.id && row.Usable == engineLimit {
					usable[row.Target] = true
				}
			}
		}
		return usable["north-e1"] && usable["south-e1"]
	})
}

// client returns a client of a customer that asks the given instances first.
func (f *processFleet) client(customer int, seeds ...*member) *client.Client {
	addrs := make([]string, len(seeds))
	for i, m := range seeds {
		addrs[i] = m.callers
	}
	c := client.New(client.Options{Seeds: addrs, Secret: f.spec.Customers[customer].Secret()})
	f.t.Cleanup(c.Close)
	return c
}

// prompt returns a prompt that was not used before.
func (f *processFleet) prompt() string {
	f.prompts++
	return fmt.Sprintf("lot %d", f.prompts)
}

// mustServe sends one request and wants its whole answer.
func (f *processFleet) mustServe(c *client.Client, tokens int64) {
	f.t.Helper()
	if err := generate(c, f.prompt(), tokens); err != nil {
		f.t.Errorf("a request was not served: %v", err)
	}
}

// generate sends one request; a whole answer that is not its own is an error too.
func generate(c *client.Client, prompt string, tokens int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	answer, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: tokens}, nil)
	if err != nil {
		return errors.Wrap(err, prompt)
	}
	if !bytes.Equal(answer.Data, standin.Answer(prompt, tokens)) {
		return errors.Errorf("%s: the answer is not its own", prompt)
	}
	return nil
}

// load is a number of requests under way.
type load struct {
	prompts []string
	errs    chan error
}

// startLoad sends requests at once.
func (f *processFleet) startLoad(c *client.Client, requests int, tokens int64) *load {
	l := &load{errs: make(chan error, requests)}
	for range requests {
		prompt := f.prompt()
		l.prompts = append(l.prompts, prompt)
		go func() { l.errs <- generate(c, prompt, tokens) }()
	}
	return l
}

// wait returns the errors of all requests.
func (l *load) wait() []error {
	var failed []error
	for range l.prompts {
		if err := <-l.errs; err != nil {
			failed = append(failed, err)
		}
	}
	return failed
}

// runs is how often each prompt was taken by an engine to run.
func (f *processFleet) runs() map[string]int {
	f.t.Helper()
	runs := make(map[string]int)
	for _, addr := range f.engines {
		var report cli.EngineReport
		if err := fetch(addr, cli.PathStandinReport, &report); err != nil {
			f.t.Fatal(err)
		}
		for _, a := range report.Arrivals {
			if a.Refused == "" && !a.Resume {
				runs[a.Prompt]++
			}
		}
	}
	return runs
}

// callRuns is how often the services ran the call with an id.
func (f *processFleet) callRuns(id string) int {
	f.t.Helper()
	runs := 0
	for _, addr := range f.services {
		var report cli.ServiceReport
		if err := fetch(addr, cli.PathStandinReport, &report); err != nil {
			f.t.Fatal(err)
		}
		runs += report.Runs[id]
	}
	return runs
}

// checkLimits verifies that no engine ever ran more than its limit.
func (f *processFleet) checkLimits() {
	f.t.Helper()
	for _, addr := range f.engines {
		var report cli.EngineReport
		if err := fetch(addr, cli.PathStandinReport, &report); err != nil {
			f.t.Fatal(err)
		}
		if report.Peak.Running > engineLimit || report.Peak.ColdOverloads > 0 {
			f.t.Errorf("an engine ran %+v, limit %d, cold limit %d", report.Peak, engineLimit, coldLimit)
		}
	}
}

// memberAt finds the instance with a callers' address.
func (f *processFleet) memberAt(addr string) *member {
	f.t.Helper()
	for _, m := range f.members {
		if m.callers == addr {
			return m
		}
	}
	f.t.Fatalf("no instance serves callers at %s", addr)
	return nil
}

// ownerOf is the instance that owns a target, in another instance's view.
func (f *processFleet) ownerOf(target fleet.TargetID, seenBy *member) *member {
	s, _ := seenBy.status()
	for _, row := range s.Targets {
		if row.Target != target {
			continue
		}
		for _, m := range f.members {
			if m.id == row.Owner {
				return m
			}
		}
	}
	return nil
}

// others are all instances but one.
func (f *processFleet) others(excluded *member) []*member {
	var others []*member
	for _, m := range f.members {
		if m != excluded {
			others = append(others, m)
		}
	}
	return others
}

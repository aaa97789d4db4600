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

// Sizes of the process fleet. engineBatch is far above engineLimit, so that an engine
// itself does not enforce the limit.
const (
	engineLimit = 4
	coldLimit   = 1
	engineBatch = 64
)

// member is one instance of the process fleet.
type member struct {
	*process
	id                       fleet.InstanceID
	callers, peers, operator string
	settings                 string
}

// processFleet is a complete fleet of separate processes: a platform stand-in, an engine
// and a service stand-in in each of two data centres, and three instances.
type processFleet struct {
	t        *testing.T
	dir      string
	spec     localfleet.Spec
	list     fleet.List
	members  []*member
	engines  []string
	services []string
	// prompts is the number of prompts issued, which makes each one unique.
	prompts int
}

// startFleet starts all processes, waits until every instance is ready and warms up the
// engines.
func startFleet(t *testing.T) *processFleet {
	t.Helper()
	f := &processFleet{t: t, dir: t.TempDir(), spec: localfleet.Spec{
		DataCentres: []localfleet.DataCentre{
			{ID: "north", Region: "r1", Instances: 2, Engines: 1, Services: 1},
			{ID: "south", Region: "r2", Instances: 1, Engines: 1, Services: 1},
		},
		Customers: []localfleet.Customer{
			{ID: "mill-a", Share: 1, QueueLimit: 64},
			{ID: "mill-b", Share: 1, QueueLimit: 64},
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

// startMember starts an instance without any state of a previous run.
func (f *processFleet) startMember(m *member) {
	m.process = start(f.t, string(m.id), "serve", "-settings", m.settings)
}

// status returns the instance's own view. answered is false if the request fails.
func (m *member) status() (s instance.Status, answered bool) {
	err := fetch(m.operator, instance.PathStatus, &s)
	return s, err == nil
}

// awaitReady waits until an instance is ready and connected to all others.
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

// warmUp sends requests until both engines are ready and usable up to their limit.
func (f *processFleet) warmUp() {
	f.t.Helper()
	north, south := f.client(0, f.members[0]), f.client(0, f.members[2])
	eventually(f.t, "both engines are ready and usable up to their limit", func() bool {
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

// client returns a client of a customer with the given instances as seeds. It is closed
// when the test ends.
func (f *processFleet) client(customer int, seeds ...*member) *client.Client {
	addrs := make([]string, len(seeds))
	for i, m := range seeds {
		addrs[i] = m.callers
	}
	c := client.New(client.Options{Seeds: addrs, Secret: f.spec.Customers[customer].Secret()})
	f.t.Cleanup(c.Close)
	return c
}

// prompt returns a prompt that has not been used before.
func (f *processFleet) prompt() string {
	f.prompts++
	return fmt.Sprintf("lot %d", f.prompts)
}

// mustServe sends one request and reports an error if it does not get its complete answer.
func (f *processFleet) mustServe(c *client.Client, tokens int64) {
	f.t.Helper()
	if err := generate(c, f.prompt(), tokens); err != nil {
		f.t.Errorf("a request was not served: %v", err)
	}
}

// generate sends one request and returns an error if it fails or gets the answer to
// another request.
func generate(c *client.Client, prompt string, tokens int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	answer, err := c.Generate(ctx, &medlarwindv1.GenerateRequest{Model: "appraise", Prompt: prompt, MaxTokens: tokens}, nil)
	if err != nil {
		return errors.Wrap(err, prompt)
	}
	if !bytes.Equal(answer.Data, standin.Output(prompt, tokens)) {
		return errors.Errorf("%s: the answer belongs to another request", prompt)
	}
	return nil
}

// load is a set of concurrent requests.
type load struct {
	prompts []string
	errs    chan error
}

// startLoad sends requests concurrently and does not wait for them.
func (f *processFleet) startLoad(c *client.Client, requests int, tokens int64) *load {
	l := &load{errs: make(chan error, requests)}
	for range requests {
		prompt := f.prompt()
		l.prompts = append(l.prompts, prompt)
		go func() { l.errs <- generate(c, prompt, tokens) }()
	}
	return l
}

// wait waits for all requests and returns the errors of the failed ones.
func (l *load) wait() []error {
	var failed []error
	for range l.prompts {
		if err := <-l.errs; err != nil {
			failed = append(failed, err)
		}
	}
	return failed
}

// runs returns how often the engines started to run each prompt. Resumed runs are not
// counted.
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

// callRuns returns how often the services ran the call with the given ID.
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

// checkLimits verifies that no engine ever exceeded its limit or was overloaded while cold.
func (f *processFleet) checkLimits() {
	f.t.Helper()
	for _, addr := range f.engines {
		var report cli.EngineReport
		if err := fetch(addr, cli.PathStandinReport, &report); err != nil {
			f.t.Fatal(err)
		}
		if report.Peak.Running > engineLimit || report.Peak.ColdOverloads > 0 {
			f.t.Errorf("peak load of an engine %+v, want at most the limit %d and the cold limit %d", report.Peak, engineLimit, coldLimit)
		}
	}
}

// memberAt returns the instance with the given caller address.
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

// ownerOf returns the owner of a target in the view of the instance seenBy, or nil if it
// is not known.
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

// others returns all instances except one.
func (f *processFleet) others(excluded *member) []*member {
	var others []*member
	for _, m := range f.members {
		if m != excluded {
			others = append(others, m)
		}
	}
	return others
}

//go:build linux

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// runAsMedlarwind makes the test binary run the product in place of the tests.
const runAsMedlarwind = "RUN_AS_MEDLARWIND=1"

// Bounds of waiting for a condition; passing tests need far less.
const (
	conditionTimeout      = 40 * time.Second
	conditionPollInterval = 20 * time.Millisecond
	fetchTimeout          = 5 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv("RUN_AS_MEDLARWIND") == "1" {
		main()
	}
	os.Exit(m.Run())
}

// process is one process of the product.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// command returns a process of the product that is not yet started.
func command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsMedlarwind)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// start runs the product until the test ends.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: command(args...), done: make(chan struct{})}
	p.log = filepath.Join(t.TempDir(), name+".log")
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		out.Close()
		close(p.done)
	}()
	t.Cleanup(p.finish)
	return p
}

// finish ends the process if it still runs, and shows the end of its log after a
// failure.
func (p *process) finish() {
	_ = p.cmd.Process.Kill()
	<-p.done
	if !p.t.Failed() {
		return
	}
	text, _ := os.ReadFile(p.log)
	p.t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-3000):])
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the end of the process.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		p.t.Fatalf("%s has not ended", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// runToEnd runs the product and returns its exit code and output.
func runToEnd(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	cmd := command(args...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(conditionTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never came true within %s: %s", conditionTimeout, what)
		}
		time.Sleep(conditionPollInterval)
	}
}

// reservedHosts counts the loopback addresses given out.
var reservedHosts atomic.Int64

// reserve returns an IP:port of a loopback address that no other process of the
// tests uses, and that no connection takes as its own end.
func reserve(t *testing.T) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 1+reservedHosts.Add(1)%250)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// fetch reads a JSON document over HTTP.
func fetch(addr, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s%s: %s: %s", addr, path, response.Status, text)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

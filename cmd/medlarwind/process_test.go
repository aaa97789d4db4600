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

// runAsMedlarwind is the environment variable that makes the test binary run medlarwind
// instead of the tests.
const runAsMedlarwind = "RUN_AS_MEDLARWIND=1"

// Timeouts and poll interval of the tests. Passing tests need far less time.
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

// process is one running medlarwind process.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// command returns a command that runs medlarwind and is killed if the test process dies.
func command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsMedlarwind)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// start runs medlarwind until the test ends. Its output goes to a log file.
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

// finish kills the process if it is still running. If the test has failed, it prints the
// end of the log.
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		p.t.Fatalf("%s has not exited", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// runToEnd runs medlarwind until it exits, for at most conditionTimeout, and returns its
// exit code and output.
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

// eventually waits until a condition holds, and fails the test after conditionTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", conditionTimeout, what)
		}
		time.Sleep(conditionPollInterval)
	}
}

// reservedHosts is the number of loopback addresses that reserve has returned.
var reservedHosts atomic.Int64

// reserve returns an unused IP:port. Each call uses another loopback address, so that
// neither another test process nor the local end of an outgoing connection takes the
// port before the caller listens on it.
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

// fetch reads a JSON document over HTTP and decodes it into the value into points to.
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

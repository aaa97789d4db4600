//go:build review2

// Command standin2 plays the scripts of the cases 6 to 10: it starts the system's processes, and is
// the store, the servers and the requesters for them. Its exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict []string

// cases holds the cases by name. Each registers itself.
var cases = make(map[string]func(*record, bool) (verdict, error))

// running is the fleet that a case has started, if any.
var running atomic.Pointer[fleet]

// limit ends a case that hangs.
const limit = 115 * time.Second

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s trouble=%v", os.Args[1], trouble)
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-time.After(limit):
			rec.line("result: the case did not end in time")
		case sig := <-early:
			rec.line("result: ended early by %v", sig)
		}
		if f := running.Load(); f != nil {
			f.close()
		}
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.line("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for _, b := range broken {
		rec.line("broken: %s", b)
	}
	rec.line("result: the rule was broken %d times", len(broken))
	fmt.Printf("the rule was broken %d times\n", len(broken))
	for _, b := range broken[:min(len(broken), 3)] {
		fmt.Println(" ", b)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}

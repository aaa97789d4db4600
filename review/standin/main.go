//go:build review

// Command standin plays the script of a review case. It holds the stand-ins of the platform's store,
// of servers and of requesters, starts the project's processes and ends them. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. Its second argument says whether the
// disruption takes place ("trouble") or is left out ("calm"); run.sh takes it from TROUBLE.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases holds the script of each case by the number of its folder.
var cases = map[string]func(*run){
	"1": lastKeysRevoked,
	"2": keyBackAfterRestore,
	"3": deadlyPartOfSplitRoute,
	"4": partTurnsDeadly,
	"5": keyBackAfterFreeze,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil || os.Args[2] != "trouble" && os.Args[2] != "calm" {
		fmt.Fprintln(os.Stderr, "usage: standin CASE trouble|calm")
		return 2
	}
	name := os.Args[1]
	record, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	keep := os.Getenv("KEEP") != ""
	r := &run{
		dir: dir, trouble: os.Args[2] == "trouble", began: time.Now(), store: newStore(), record: record,
		runs: make(map[string][]execution), servers: make(map[string]*server),
	}
	defer func() {
		problem := recover()
		for _, m := range r.machine {
			m.stop()
		}
		if keep {
			fmt.Fprintln(os.Stderr, "logs:", dir)
		} else {
			_ = os.RemoveAll(dir)
		}
		switch failure, isUnable := problem.(unableError); {
		case isUnable:
			r.logf("the case could not run: %v", failure)
			fmt.Fprintln(os.Stderr, failure)
			code = 2
		case problem != nil:
			panic(problem)
		case r.broken:
			r.logf("result: the rule was broken")
			code = 1
		default:
			r.logf("result: the rule held")
		}
	}()
	r.logf("case %s, disruption: %v", name, r.trouble)
	cases[name](r)
	return 0
}

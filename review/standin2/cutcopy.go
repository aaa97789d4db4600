//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Doses of the case. faultyServers of the appServers are faulty. lookupFailures and settleFailures are the shares of calls that a sound server answers with a
// failure of its own, as on the site's sheet. spoiled is the share of the answers of a faulty server before which it
// writes a part of the answer before, for episodeTime in each episodeEvery.
const (
	appServers     = 5
	faultyServers  = 3
	lookupFailures = 0.14
	settleFailures = 0.004
	spoiled        = 0.03
	episodeTime    = 5 * time.Second
	episodeEvery   = 6 * time.Second
	callsTime      = 80 * time.Second
	callers        = 60
	callGap        = 120 * time.Millisecond
	keepAliveSecs  = 5
)

// plainServer is a server of a plain service that writes its answers itself.
type plainServer struct {
	server
	faulty bool

	mu       sync.Mutex
	statuses map[string]int
	// merged counts the spoiled answers.
	merged int
}

// startPlain listens and serves until the process ends.
func (s *plainServer) startPlain() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return nil
}

// serveConn serves one request after the other on a channel. A faulty server sometimes sends additional bytes
// where the next answer is due: a second copy of the answer before that breaks off in its head.
func (s *plainServer) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var before string
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get(hdrAttempt)
		if expected := r.Header.Get(hdrExpect); expected != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hdrAttempt, attempt)
			continue
		}
		one := s.ledger.begin(&run{server: s.id, attempt: attempt, tenant: r.Header.Get(hdrTenant)})
		time.Sleep(workTime)
		status := http.StatusOK
		failures := settleFailures
		if strings.HasPrefix(r.URL.Path, "/lookup/") {
			failures = lookupFailures
		}
		if rand.Float64() < failures {
			status = http.StatusInternalServerError
		}
		s.mu.Lock()
		s.statuses[attempt] = status
		s.mu.Unlock()
		answer := plainAnswer(attempt, status, body)
		extra := ""
		if s.faulty && time.Since(s.rec.began)%episodeEvery < episodeTime && before != "" && rand.Float64() < spoiled {
			extra = before[:1+rand.IntN(strings.Index(before, "\r\n\r\n"))]
			s.mu.Lock()
			s.merged++
			s.mu.Unlock()
			s.rec.line("additional bytes server=%s before the answer to attempt=%s status=%d: %q", s.id, attempt, status, extra)
		}
		before = answer
		_, err = io.WriteString(conn, extra+answer)
		s.ledger.end(one, err == nil)
		if err != nil {
			return
		}
	}
}

// plainAnswer is an answer with the headers that servers commonly send.
func plainAnswer(attempt string, status int, request []byte) string {
	body := answerTo(attempt, request)
	if status != http.StatusOK {
		body = "failure of " + attempt
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n%s: %s\r\n%s: s.%s.%d\r\n\r\n%s",
		status, http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), len(body), keepAliveSecs, hdrAttempt, attempt,
		hdrSignature, attempt, status, body)
}

func init() { cases["failure-as-success"] = failureAsSuccess }

// failureAsSuccess lets servers send additional bytes where the next answer is due. No requester may get a
// success where the server had answered with a failure, nor a failure where it had answered with success.
func failureAsSuccess(rec *record, trouble bool) (verdict, error) {
	f, b, err := newFleet(rec, 3, []int{0, 1, 2})
	if err != nil {
		return nil, err
	}
	defer f.close()
	l := &ledger{}
	var servers []*plainServer
	for i := range appServers {
		s := &plainServer{
			server: server{id: fmt.Sprintf("i-%d", i), service: "app", zone: zones[i%len(zones)], addr: b.addr(10+i, 0), born: time.Now().UnixMilli(), rec: rec, ledger: l},
			faulty: trouble && i < faultyServers, statuses: make(map[string]int),
		}
		if err := s.startPlain(); err != nil {
			return nil, err
		}
		f.store.put(keyServers+s.id, s.entry())
		servers = append(servers, s)
	}
	f.store.put(keyConfig, configuration(7, []tenant{{Name: "mill", APIKeys: []string{"key-mill"}}, {Name: "broker", APIKeys: []string{"key-broker"}}}))
	if err := f.startAll(b); err != nil {
		return nil, err
	}
	time.Sleep(settle)

	ctx, cancel := context.WithTimeout(context.Background(), callsTime)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for i := range callers {
		in := f.instances[i%len(f.instances)]
		path, method := "/lookup/1", http.MethodGet
		if i%2 == 0 {
			path, method = "/settle/1", http.MethodPost
		}
		group.Go(func() {
			for ctx.Err() == nil {
				c := call{front: in.front, path: path, key: "key-mill", method: method, budget: time.Second}
				if method == http.MethodPost {
					c.body = strings.Repeat("b", 600)
				}
				rep := send(context.Background(), c)
				mu.Lock()
				replies = append(replies, rep)
				mu.Unlock()
				rec.line("answer instance=%d path=%s signature=%q %s", in.index, path, rep.signature, rep.describe())
				_ = pause(ctx, callGap)
			}
		})
	}
	group.Wait()

	var broken verdict
	given := make(map[string]int)
	merged := 0
	for _, s := range servers {
		s.mu.Lock()
		for attempt, status := range s.statuses {
			given[attempt+"@"+strconv.Itoa(status)] = status
		}
		merged += s.merged
		s.mu.Unlock()
	}
	served := 0
	for _, rep := range replies {
		if rep.status == http.StatusOK {
			served++
		}
		// The signature names the request and the status that the server gave.
		if rep.signature == "" {
			continue
		}
		if want := fmt.Sprintf("s.%s.%d", rep.attempt, rep.status); rep.signature != want {
			broken = append(broken, fmt.Sprintf("attempt %s: the requester got status %d with the signature %s and the body %.40q",
				rep.attempt, rep.status, rep.signature, rep.body))
		} else if _, ok := given[rep.attempt+"@"+strconv.Itoa(rep.status)]; !ok {
			broken = append(broken, fmt.Sprintf("attempt %s: no server gave status %d", rep.attempt, rep.status))
		}
	}
	rec.line("requests: %d, of them %d with status 200; answers with additional bytes before them: %d", len(replies), served, merged)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}

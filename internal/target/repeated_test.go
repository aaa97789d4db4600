package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"medlarwind.dev/medlarwind/internal/memnet"
	"medlarwind.dev/medlarwind/internal/target"
	"medlarwind.dev/medlarwind/internal/target/enginewire"
)

// refusalText is a target's refusal of any request.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\n" + enginewire.HeaderOutcome + ": " + enginewire.OutcomeNotRun + "\r\n" +
	enginewire.HeaderReason + ": " + enginewire.ReasonOverloaded + "\r\nContent-Length: 0\r\n\r\n"

// withRepeatingTarget runs f in virtual time with a target that answers the first request with
// first, and the second, which it runs, with first once more and then with second. It serves
// requests in order of arrival on any connection; the repetition stays on that of the first.
func withRepeatingTarget(t *testing.T, first, second string, f func(t *testing.T, c *target.Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen(targetAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for arrivals := 0; ; {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				repeated := ""
				for in := bufio.NewReader(conn); ; arrivals++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answer := second
					if arrivals == 0 {
						answer = first
					}
					_, _ = io.WriteString(conn, repeated+answer)
					repeated = first
				}
				_ = conn.Close()
			}
		}()
		c := target.NewClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
			return n.Host(instanceHost).Dial(ctx, network, addr)
		}, target.Options{})
		defer c.Close()
		f(t, c)
	})
}

// A target may write a refusal once more where the response to the next request on the connection
// is due. That request runs, and must not be reported as not run.
func TestRepeatedRefusalIsNotTheNextRequests(t *testing.T) {
	for name, send := range requests {
		t.Run(name, func(t *testing.T) {
			withRepeatingTarget(t, refusalText, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(t *testing.T, c *target.Client) {
				wantError(t, send(t.Context(), c), target.NotRun, enginewire.ReasonOverloaded)
				if err := send(t.Context(), c); kindOf(err) == target.NotRun {
					t.Errorf("second request: %v, want no NotRun: it has run", err)
				}
			})
		})
	}
}

// A target may write an answer once more where that to the next call on the connection is due.
func TestRepeatedAnswerIsNotTheNextCalls(t *testing.T) {
	answer := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			enginewire.HeaderChecksum, enginewire.Checksum(0, []byte(body)), len(body), body)
	}
	withRepeatingTarget(t, answer("lot 1"), answer("lot 2"), func(t *testing.T, c *target.Client) {
		for i, want := range []string{"lot 1", "lot 2"} {
			got, err := c.Call(t.Context(), targetAddr, target.CallRequest{Method: "m", CallID: fmt.Sprint("call ", i)})
			if err == nil && string(got) != want {
				t.Errorf("call %d: got %q, want %q or an error", i, got, want)
			}
		}
	})
}

package standin

import (
	"net"
	"net/http"
	"sync"
)

// Serve serves h on l until stop is called. stop closes the connections and waits for
// the handlers to return, so that no goroutine is left in a synctest bubble.
func Serve(l net.Listener, h http.Handler) (stop func()) {
	handlers := newHandlerCounter()
	server := &http.Server{Handler: handlers.wrap(h)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	return func() {
		_ = server.Close()
		<-done
		handlers.wait()
	}
}

// handlerCounter counts the handlers that are running.
type handlerCounter struct {
	mu   sync.Mutex
	idle *sync.Cond
	n    int
}

// newHandlerCounter returns a counter at zero.
func newHandlerCounter() *handlerCounter {
	c := &handlerCounter{}
	c.idle = sync.NewCond(&c.mu)
	return c
}

// wrap returns a handler that calls h and counts the running calls.
func (c *handlerCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(1)
		defer c.add(-1)
		h.ServeHTTP(w, r)
	})
}

// add adds n to the count and wakes wait when it reaches zero.
func (c *handlerCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	if c.n == 0 {
		c.idle.Broadcast()
	}
}

// wait blocks until no handler is running.
func (c *handlerCounter) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.idle.Wait()
	}
}

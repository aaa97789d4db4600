package standin

import (
	"net"
	"net/http"
	"sync"
)

// Serve serves h on l until stop is called. Stop breaks the connections and waits
// for the handlers, so that a test in virtual time leaves no goroutine behind.
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

// handlerCounter counts running handlers.
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

// wrap counts the calls of h that run.
func (c *handlerCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(1)
		defer c.add(-1)
		h.ServeHTTP(w, r)
	})
}

// add changes the count.
func (c *handlerCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	if c.n == 0 {
		c.idle.Broadcast()
	}
}

// wait waits until no handler runs.
func (c *handlerCounter) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.idle.Wait()
	}
}

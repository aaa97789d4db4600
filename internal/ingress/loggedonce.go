package ingress

import "sync"

const (
	// maxLoggedOnce limits the texts that are remembered, and so logged.
	maxLoggedOnce = 256
	// maxOddText is the length to which an odd text is cut before.
	maxOddText = 64
)

// loggedOnce is a set of texts of which each is logged once. It is safe for concurrent use.
type loggedOnce struct {
	mu    sync.Mutex
	texts map[string]struct{}
}

// add reports whether the text is to be logged: it is new, and not too many are known.
func (l *loggedOnce) add(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.texts[text]; known || len(l.texts) >= maxLoggedOnce {
		return false
	}
	if l.texts == nil {
		l.texts = make(map[string]struct{})
	}
	l.texts[text] = struct{}{}
	return true
}

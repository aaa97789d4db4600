// Package observe makes an instance's decisions and figures visible: a log line for
// each routing or placement decision, counters and histograms served as JSON, and
// the fairness gap of a run.
//
// Nothing here decides anything and nothing here starts a goroutine. Decisions and
// Metrics are safe for concurrent use. A Decisions method costs one zerolog event
// from its pool and one write to the logger's output, which the caller should
// buffer or drain; a counter costs an atomic addition and a map lookup, a histogram
// a short critical section. Gap and WorstGap are pure.
package observe

// Package observe provides the observability of an instance: a log line for each
// routing or placement decision, counters and histograms served as JSON, and the
// fairness gap of a run.
//
// The package makes no decisions and starts no goroutines. DecisionLog and Metrics
// are safe for concurrent use. A DecisionLog method costs one pooled zerolog event
// and one write to the logger's output, which the caller should buffer or drain.
// Incrementing a counter costs an atomic addition and a map lookup, recording in a
// histogram a short critical section. Gap and WorstGap are pure functions.
package observe

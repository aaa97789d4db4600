// Package faults proves what must always hold under every fault of the brief, at
// every step of a request's life and of the fleet's changes. It holds tests only;
// docs/FAULTS.md is printed from their table.
//
// The tests run whole instances with stand-ins over an in-memory network in virtual
// time. They are built without the race detector: with thousands of goroutines its
// runtime fails a check of its own (ThreadSanitizer CHECK in tsan_rtl.cpp) in about
// every second run. Package localfleet runs whole instances under the detector.
package faults

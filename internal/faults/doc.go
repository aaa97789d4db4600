// Package faults tests the invariants of the fleet under every required fault, at every
// step of a request and during every change of the fleet. It contains tests only;
// docs/FAULTS.md is generated from their tables.
//
// The tests run whole instances with stand-ins over an in-memory network in virtual
// time. They are built without the race detector: with thousands of goroutines its
// runtime fails an internal check (ThreadSanitizer CHECK in tsan_rtl.cpp) in about
// every second run. Package localfleet runs whole instances under the detector.
package faults

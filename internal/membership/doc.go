// Package membership implements the rules of group membership, without goroutines or
// I/O: rendezvous hashing of keys to members, the view of the live instances of one data
// centre, the history of lists within the hold-down, whether a peer is reachable, and
// whether this instance is cut off. Package limit builds the ledger of an instance on it.
//
// Rendezvous order is the same on all instances that have the same list, regardless of
// the order of the list. A member that joins or leaves does not change the relative order
// of the others.
//
// What an instance loses by a new list takes effect at once, and what it gains takes
// effect after the hold-down. Two instances that accept new work may use versions of the
// list that differ in age. The hold-down must exceed the greatest such difference plus the
// lifetime of the loans and grants of the instance with the older version.
package membership

// Package membership holds the rules on who takes part, as pure state: the
// rendezvous order of a key's members, the view of one data centre's live instances,
// the lists within the hold-down, whether a peer is reachable, and whether this
// instance is cut off. Package limit builds the ledger of one instance on them.
//
// Rendezvous order is the same on every instance that has the same list, whatever
// the order of the list, and a member that joins or goes moves no other one.
//
// A loss by a new list counts at once and a gain after the hold-down. The hold-down
// must exceed the time by which two instances that take new work may differ in the
// version they act on, plus the life of what the slower one lent and granted.
package membership

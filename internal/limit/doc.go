// Package limit divides the limits of targets between instances that may disagree on
// who takes part, so that the work on a target stays within its limit without a vote.
// A Ledger is the pure state of one instance; one goroutine owns it, and time is
// passed in, on the instance's own monotonic clock.
//
// # Units
//
// A target's limit L is L units, divided over the live listed instances of its data
// centre in rendezvous order: every holder has L/n, the first L mod n one more. The
// first holder that is neither unreachable nor leaving is the owner. Each unit has
// at most one user at a time: the instance that the unit's holder takes for the
// owner. The owner uses another holder's units by a loan, which each heartbeat of
// the holder renews. The user grants starts to entries; a grant becomes a Permit.
//
// Every lease is anchored at the time at which its user sent the heartbeat that the
// giver echoes. The giver counts from a later time, so its user's lease ends first.
//
// # Condition
//
// Let the work on a target at time t be the requests that have arrived and not ended.
// Let Known = CutOff + 2 ReportLag + Age + PermitTime + Margin, where Age is the
// greatest age that a report states. For each arrival at time t:
//
//	work(t) <= L(t)
//
// where L(t) is the rule's limit, the greatest that any instance held within Known
// before t, or ColdLimit if the target has been cold since t - Known. It holds if
//
//   - clocks drift less than Margin in LoanTime + Release, where Release =
//     LoanTime + PermitTime + Margin, and a request arrives within Margin of the
//     Usable that allowed it, and its end is told to Done within Margin, not before;
//   - two instances that may act on their lists differ by at most CutOff in the
//     versions they act on, and no instance that may act skips a version;
//   - HoldDown >= CutOff + Release;
//   - a report's figures were true at one time between ReportLag before
//     asked - Age and received - Age.
//
// # Rules
//
// Units lost by a new list are lost at once; units gained are gained after HoldDown.
// Own units are used only where this instance has taken itself for the owner for
// Release; lent units only where their holder has named it the owner for
// LoanTime + Release, by an unbroken record of the holder's views. The second
// LoanTime covers a view that was changed and reverted unheard. Views of different
// lists and skipped sets can be compared, so that a loan outlasts a new list
// wherever the owner stays the same.
//
// Units gained may still be occupied by work of former users, and so may those of
// entries that are lost or have restarted. That work is uncertain: it stays counted
// until a report taken after its permits have ended shows less. A report's total is
// compared with the least known work in its interval, so that it resolves uncertain
// work under load too, as far as few requests start within that interval.
//
// An instance that is cut off uses no units. After a start, the first list is a gain.
//
// # Recovery
//
// Once the last fault is over and nothing runs, the owner holds the whole limit within
// DeadPeer + CutOff + max(HoldDown, LoanTime + Release) + PermitTime + Margin +
// 2 ReportLag + Age and three polls of the load.
package limit

// Package limit divides the concurrency limits of targets among instances whose views
// of the membership may differ, so that the work on a target stays within its limit
// without a consensus protocol. A Ledger is the state of one instance and does no I/O.
// One goroutine owns it, and every method takes the current time as an argument, from
// the instance's own monotonic clock.
//
// # Units
//
// A target with limit L has L units. They are divided among the holders, which are the
// live listed instances of the target's data centre, in rendezvous order: each of n
// holders gets L/n units, and the first L mod n holders get one more. The first holder
// that is neither unreachable nor leaving is the owner. Each unit has at most one user
// at a time: the instance that the unit's holder considers the owner. The owner uses
// the units of other holders under loans, which each heartbeat from the holder renews.
// The user grants starts to entries, the instances at which requests arrive. A received
// grant becomes a Permit.
//
// Every lease starts at the time at which its user sent the heartbeat that the lender
// or granter echoes. The lender or granter counts from a later time, so the lease ends
// first for its user.
//
// # Condition
//
// Let the work on a target at time t be the requests that have arrived and not ended.
// Let Known = CutOffTime + 2 ReportLag + Age + PermitTime + Margin, where Age is the
// greatest age that a report states. For each arrival at time t:
//
//	work(t) <= L(t)
//
// where L(t) is the rule's limit, the greatest that any instance held within Known
// before t, or ColdLimit if the target has been cold since t - Known. It holds if
//
//   - clocks drift less than Margin in LoanTime + ReleaseTime, where ReleaseTime =
//     LoanTime + PermitTime + Margin;
//   - a request arrives within Margin of the call of Use that allowed it;
//   - Done is called within Margin after the request's end, not before it;
//   - the list versions of two instances that may act on them are at most CutOffTime
//     apart, and no instance that may act skips a version;
//   - HoldDown >= CutOffTime + ReleaseTime;
//   - a report's figures were all true at one time, between
//     requested - Age - ReportLag and received - Age.
//
// # Rules
//
// Units lost by a new list are lost immediately; units gained become usable after
// HoldDown. An instance uses its own units only if it has considered itself the owner
// for ReleaseTime. It uses borrowed units only if their holder has named it the owner
// for LoanTime + ReleaseTime, by an unbroken record of the holder's views. The
// additional LoanTime covers a view that changed and changed back between two received
// heartbeats. Views of different lists and sets of skipped instances can be compared,
// so a loan stays valid under a new list if the owner is the same.
//
// Units gained may still be occupied by work of former users. Other units may still be
// occupied by work of entries that are lost or have restarted. Such work is called
// uncertain: it stays counted until a report taken after its permits have ended shows
// less. A report's total is compared with the least known work in its interval, so it can
// resolve uncertain work under load too, provided that few requests start within that
// interval.
//
// An instance that is cut off uses no units. After a start, all units of the first list
// count as gained.
//
// # Recovery
//
// Once the last fault is over and nothing runs, the owner holds the whole limit within
// UnreachableAfter + CutOffTime + max(HoldDown, LoanTime + ReleaseTime) + PermitTime +
// Margin + 2 ReportLag + Age and three polls of the load.
package limit

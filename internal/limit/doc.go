// Package limit divides the limits of targets between instances that may disagree,
// so that the work running on a target stays within its limit without a vote.
package limit

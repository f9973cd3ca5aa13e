// Package quota enforces the rate limits of customers across all instances.
//
// A limit is a rate and a burst: in any window, the usage may be up to the rate times the length of the
// window, plus the burst. Each instance counts what a customer uses at itself and adds the usage that
// the other instances report. The reports come with a delay. Until the next ones, an instance admits a
// request that fits into what remains of the limit after the usage expected of the other instances, or
// into its own even share of what remains. So all instances together stay within the limit.
//
//	allowed 900, known usage 600, 6 instances: the even share is 50 until the next reports
//
// A missing report does not mean that nothing was used. Until an instance that has just started has heard
// from the others, it admits its even share once. For the time between the last save of the usage and its
// start, a gap, it assumes that the customer used as much as the limit's rate allows.
//
// An instance that no longer hears from some of the others admits only a part of the limit, since it
// can't see what they use.
package quota

// Package rollout moves a pool's requests to targets of another version, as an operator
// orders it. A small part of the requests tries the new version while all instances count how
// both versions do, more of them at first and while it is in doubt; sequential tests hold the new
// one for bad as soon as the counts show it, and one that isn't takes over near the end of the
// order's period, which is over once it has answered under the whole load. Shares, judgement and
// moments are plain functions of plain values; Record keeps what one instance knows, and
// Keeper does what one instance of all has to do.
package rollout

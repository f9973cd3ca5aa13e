// Package balance decides which target of a pool serves a request, and when.
//
// Every instance decides for its own requests. It estimates the load of a target from its own
// requests in flight, which it knows exactly, and from the loads that the other instances report,
// which are some tens of milliseconds old. A request goes to the target with the earliest expected
// first token, computed from the prompt tokens that the target still has to prefill, its observed
// prefill rate, and the part of the prompt that it probably has cached. While all slots are in use,
// requests wait in a queue of this instance and not at the targets: a target serves requests in
// order of arrival, while this queue is ordered by priority.
//
//	caller -> gateway -> Acquire -> target A, has the prompt cached, 3 of 10 slots in use
//	                  <- Release (first token after 80 ms, 60 events, success)
package balance

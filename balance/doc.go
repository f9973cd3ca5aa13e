// Package balance decides which target of a pool serves a request, and when.
//
// A target has a number of slots: the requests that it runs at once. Every instance chooses the
// targets of its own requests. It estimates the load of a target from its own requests in flight,
// which it knows exactly, and from the loads that the other instances report, which are some tens
// of milliseconds old. A request goes to the target with the earliest expected first token,
// computed from the prompt tokens that the target still has to prefill, its observed prefill rate,
// and the part of the prompt that it probably has cached. While all slots are in use, requests wait
// in queues of the instances and not at the targets: a target serves requests in order of arrival,
// while these queues are ordered by priority.
//
// The slots of an engine are granted by its owner, one instance for all (package slots). A request
// asks the owners of the best engines and waits in their queues. The same holds for plain services
// that have announced a limit or may turn cold ("owner-only" targets). The slots of other plain
// services, and those of engines whose owners don't answer, are granted by each instance by its own
// view of the load.
//
//	caller -> gateway -> Acquire -> target A, has the prompt cached, 3 of 10 slots in use
//	                  <- Release (first token after 80 ms, 60 events, success)
package balance

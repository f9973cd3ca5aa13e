// Package slots allocates the slots of targets to requests. A slot is one request that a target
// runs. Each target is owned by one instance of its data centre, chosen by rendezvous hashing among
// the live ones. The owner keeps a table of the slots and their holders and a queue of slot
// requests. All instances together thus never send a target more requests than it runs at once, and
// the queue of a target is ordered by tier across all instances.
//
// Engines may share queues: a data centre then has one owner for several engines, and a slot request
// names those that it may use (Client.EnginesPerQueue, docs/design/shared-queues.md).
//
// The state of an owner is soft: nothing is stored, and two concurrent owners only overcommit a
// target for a moment. Every holder sends the list of its slots once a second (a sync) to the
// instance that it considers the owner, which makes up for lost messages and for failed and new
// owners. If no owner answers, the balancer decides by its own view of the load.
//
//	balancer -> Client.Request -> datagram -> SlotTable.Request at the owner
//	                           <- granted, or queued and granted later
//	         -> Client.Release ------------> SlotTable.Release
package slots

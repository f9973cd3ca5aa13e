// Package forecast predicts how long a slot request waits in the queue of several engines, and decides from that whether
// its caller is held or refused. It has no clock: the time is passed in.
//
// The owner of a queue reports what happens in it to an Estimator, which predicts the wait of the next request of a tier:
//
//	wait = (requests ahead + 1) / (slots that become free + served elsewhere - arrivals of higher tiers)
//
// all three per second. A request waits at several owners and leaves the other queues when one grants it a slot, so the
// requests ahead leave a queue faster than its slots become free. The rate at which slots become free is predicted by
// Little's law, from the slots in use now and the mean time for which a slot was held lately. It thus follows when slots
// fill up after an idle period or when an engine is lost, before the count of the slots that became free does.
//
// The requester decides by the best forecast of the owners that it has asked (Decide).
package forecast

// Package headroom computes how many slots of a queue for several engines are kept free for higher tiers. The queue
// order alone doesn't protect a higher tier, since none of its requests may be queued when a slot becomes free. It has no
// clock: the time is passed in.
//
// The reserve covers one batch of arrivals. The more slots become free per arrival, the smaller it is: a request of a higher
// tier that finds no free slot goes first and gets the next one. It is 0 if no higher tier has arrived lately.
package headroom

// Package fairshare decides which customer, and which kind of request, goes first when capacity is
// short. Usage holds the slot time that each customer has used recently, divided by its weight; the
// customer with the lowest level goes first. Kinds lets requests that need little slot time go ahead
// of those of a higher tier that need much, as long as they are served less often.
//
// The package has no clock, network or lock: the time is passed in, and the caller serializes
// access. State is soft and bounded.
//
//	grant   -> Usage.Add(claim, expected slot time, now)
//	release -> Usage.Correct(customer, actual - expected, time of the grant)
//	order   -> Usage.Level(claim, now), Kinds.Precedes(lower, higher, now)
package fairshare

// Package overload bounds what an instance reads of its callers by what it serves in time.
//
// A Meter measures how long work that is ready waits for the processor, and how long round trips to other instances
// take, and tells whether the instance is late. It measures when connections or requests arrive, and goes on while the
// instance is late; an idle one measures nothing.
// A Gate decides by that when new connections are taken, and a Listener closes the address for callers meanwhile, so
// that they are refused at once and try another instance. What has been read is never given up for it. What has
// arrived as the address closes is taken too, up to a bound, and counts against what is taken next.
//
//	in time      all connections are taken
//	late         the address is open for 25 ms of each 250 ms, for four connections or 0.8 of what is served meanwhile
//	in time      half as many a second as before it was late, then more, until nobody is held back
package overload

// Package gossip lets instances exchange what they have in flight at each target, the usage of
// customers, and how recent their configuration is.
//
// Within a data centre every instance sends its status to every other, or, in a large data centre, to a
// few aggregators that send everyone an aggregated digest. Between data centres one instance at a time,
// chosen at random, exchanges a digest of its whole data centre with one instance of each other data
// centre; the receiver of a digest forwards it with its next status. Each data centre therefore costs
// the others the same few messages a second, however many instances it has.
//
//	a1 -> a2, a3           status of a1, digest of b
//	a2 -> b1, b1 -> a2     digest of a (a1, a2, a3 together), digest of b
//
// Messages are single UDP datagrams, each complete in itself: a lost, late or duplicated one does no
// harm, and an instance that is cut off or frozen holds up no other. Each message also echoes the
// latest timestamp received from its receiver. The receiver then knows that the content is no older
// than that timestamp, even if the datagram or the process was delayed in between.
//
//	a -> b: timestamp 100
//	b -> a: timestamp 7, echo 100, revision 12 confirmed 300 ms ago
//	a: revision 12 was the newest at (a's clock) 100 - 300 ms, or later
package gossip

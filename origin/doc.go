// Package origin remembers at which version of the targets' software streams began. What two versions write of
// a stream doesn't fit together, and servers don't check that, so a stream that its caller takes up may go on
// only at the version of its first event. The instance that takes it up is mostly another one than the one
// that began it, which may be gone by then.
//
// Each instance keeps records of the streams that began at it. While a pool has targets of several versions,
// or had them a short time ago, it tells each record to a few instances before the first event goes to the
// caller: those that rendezvous hashing of the stream's key picks, of up to three data centres, and one of its
// own data centre. An instance without a record asks the same ones, then some more.
//
//	caller   -> a: begins s1             a -> b, c, d: s1 began at v1
//	caller   -> e: goes on with s1       e -> b, c, d: where did s1 begin?   b -> e: at v1
//
// A record that is lost costs the stream, never its consistency: without one a stream goes on only if its
// pool has had a single version for as long as streams last. So that restarted instances know that too, one
// instance keeps the history of versions in the platform's store.
package origin

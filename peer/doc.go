// Package peer carries messages between instances over QUIC with mutual TLS:
// heartbeats, asks with their decisions, and bundles by digest. Each exchange
// has a stream of its own; an ask's stream lives until its request is done, so
// that the owner notices when an entry dies.
package peer

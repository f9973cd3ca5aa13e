// Package shelfshelf holds the domain types and all interfaces of the request scheduler: the declared
// configuration (bundle), callers' requests, scheduling decisions, and what the platform and the
// targets provide. The packages below it implement the interfaces; this package imports none of them
// and does no I/O.
package shelfshelf

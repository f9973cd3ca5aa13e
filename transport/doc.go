// Package transport is an HTTP round trip that sends a request at most once and
// can tell whether a byte of it was sent. net/http would send some requests
// again on its own: those without a body and those with an Idempotency-Key.
package transport

// Package upstream sends requests to targets over HTTP/1.1, at most once per call, and distinguishes
// attempts that sent nothing from attempts that the target may have executed.
//
// It has its own connection pool, because what a target sends on a connection decides whether the
// connection can be reused: it is closed after a response to another request that is too long or has no
// length, after extra bytes behind a complete response and after a response without a length.
package upstream

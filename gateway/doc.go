// Package gateway is the HTTP reverse proxy for callers' requests. It finds the route of a request by
// host and path, sends the request to a target and returns the target's response.
//
//	caller -> route, key, quota -> balance -> upstream -> target
//	caller <- complete response, or events as they arrive <-----
//
// A plain response, that is one that is not a stream of events, is read completely before its first
// byte is sent to the caller, so that a broken one can be retried if the route allows it. The header
// of a stream is sent with its first event. If a stream breaks after that, another target can resume
// it after the last complete event, if the route allows it.
package gateway

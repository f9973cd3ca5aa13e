// Package engine talks to model engines: OpenAI-style completions over
// server-sent events, with a priority, cancelling and resuming by stream id,
// load reports and cache events.
package engine

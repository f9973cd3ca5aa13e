// Package entry is the callers' face: it takes a request over HTTP, asks for a
// decision, dispatches once, and gives the caller the whole answer or a problem
// that says whether the request ran.
package entry

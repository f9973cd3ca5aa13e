// Package overhead measures what an entry adds: requests straight to a stand-in
// engine against the same through one and through three instances, in turn.
package overhead

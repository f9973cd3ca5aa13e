// Package transfer fetches answers over HTTP whole, and tells of one that failed how
// far it came.
package transfer

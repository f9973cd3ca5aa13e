// Package burn reports on service levels: it keeps snapshots of the entries'
// counters and works out how fast each route, tier and customer burns its error
// budget over several windows, and by what.
package burn

// Package schedule decides, for one shard of a pool, which waiting request goes
// to which target and when. It does no I/O and reads no clock: every call brings
// the time. Each policy has a file of its own and a row in Policies.
package schedule

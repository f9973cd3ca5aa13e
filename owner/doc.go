// Package owner runs the shards of pools: it keeps a policy's line for the
// asks of every entry, finds the owner of each shard among the live members,
// and takes over and hands over when they change.
package owner

package shelfshelf

import "strconv"

// RequestID identifies a request across all instances; the instance that receives the request generates
// it at random.
type RequestID string

// InstanceID identifies an instance; it comes from the instance's settings.
type InstanceID string

// TargetName identifies a target of the bundle.
type TargetName string

// CustomerName identifies a customer of the bundle.
type CustomerName string

// RouteName identifies a route of the bundle.
type RouteName string

// PoolName identifies a pool of the bundle.
type PoolName string

// DataCentre is the name of the data centre that an instance or a target runs in.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// Tier is the priority of requests; 0 is the highest and is shed last.
type Tier int

// Revision is the number of an accepted bundle; it only ever increases.
type Revision uint64

// Epoch is the fencing token of a lease; each later holder has a greater one.
type Epoch uint64

// Shard is a part of a pool whose requests are scheduled by a single owner.
type Shard struct {
	Pool PoolName
	// Index numbers the shards of a pool from 0; currently every pool has a single shard.
	Index int
}

// String returns the shard as pool/index.
func (s Shard) String() string {
	return string(s.Pool) + "/" + strconv.Itoa(s.Index)
}

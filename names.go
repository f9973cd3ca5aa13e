package shelfshelf

import "strconv"

// RequestID names one request across all instances; entries draw it at random.
type RequestID string

// InstanceID names one entry instance, as its settings give it.
type InstanceID string

// TargetName names one target of the bundle.
type TargetName string

// CustomerName names one customer of the bundle.
type CustomerName string

// RouteName names one route of the bundle.
type RouteName string

// PoolName names one pool of the bundle.
type PoolName string

// DataCentre names the place an instance or a target runs in.
type DataCentre string

// Region names a group of data centres.
type Region string

// Tier ranks requests; 0 is the highest and is shed last.
type Tier int

// Revision counts accepted bundles; it only ever grows.
type Revision uint64

// Epoch is a lease's fencing token; a later holder has a greater one.
type Epoch uint64

// Shard is one part of a pool that a single owner decides for.
type Shard struct {
	// Pool is the pool that the shard is a part of.
	Pool PoolName
	// Index counts the shards of a pool from 0; today every pool has one.
	Index int
}

// String returns the shard as pool/index.
func (s Shard) String() string {
	return string(s.Pool) + "/" + strconv.Itoa(s.Index)
}

package shelfshelf

import "github.com/cespare/xxhash/v2"

// KeyOfTarget returns a 32-bit hash of a target's name.
func KeyOfTarget(name TargetName) TargetKey {
	return TargetKey(uint32(xxhash.Sum64String(string(name))))
}

// KeyOfCustomer returns a 32-bit hash of a customer's name.
func KeyOfCustomer(name CustomerName) CustomerKey {
	return CustomerKey(uint32(xxhash.Sum64String(string(name))))
}

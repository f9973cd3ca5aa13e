// Package demo runs a whole small deployment over loopback: the platform
// stand-in, entry instances, unlike engines and plain services, with a bundle
// rolled, a target drained and an instance stopped on the way, and checks what
// must always hold.
package demo

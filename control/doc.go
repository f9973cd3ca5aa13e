// Package control measures what the instances' own conversation costs: bytes,
// packets, processor time and memory an instance, as instances, pools and asks
// grow. It runs real instances over loopback in one process.
package control

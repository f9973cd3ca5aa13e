// Stage3 runs the cases of a review: shelfnode processes on loopback addresses before
// stand-ins of the platform, the servers and the clients.
package main

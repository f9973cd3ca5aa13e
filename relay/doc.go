// Package relay replicates the configuration, the list of targets and other state between
// instances over HTTP, so that an instance that the platform's store rejects still receives every
// change.
package relay

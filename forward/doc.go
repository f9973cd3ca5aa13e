// Package forward sends requests to targets through other instances while this instance's own links to
// the targets fail, and serves such requests of other instances.
//
// The instance that received a request from its caller stays responsible for it: it checks the key, charges
// the quota, holds the slot, decides on retries and resumptions, and answers the caller. The other instance
// only replaces the connection to the target. It connects to the target first and asks for the request only
// then, so that a handover that fails before has certainly not run, and a request is never handed over twice.
package forward

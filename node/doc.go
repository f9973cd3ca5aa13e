// Package node puts an instance on the users' platform together: callers, the
// balancer's readiness question, other instances, the store, and an orderly stop.
package node

// Package retrybudget limits how often requests are retried. The limit applies to all instances
// together, but needs no communication between them: each instance may retry a fraction of the
// requests that it has sent itself, plus its share of a fixed slack.
package retrybudget

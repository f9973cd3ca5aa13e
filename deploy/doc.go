// Package deploy holds the example bundles, settings and workloads of the two
// deployments, as files that people read and as data that programs embed.
package deploy

package cli

import "github.com/shelfshelf/shelfshelf/program"

// Shelfload is the load tool: demo, load and bench.
var Shelfload = program.Program{
	Name:     "shelfload",
	Short:    "shelfload sends the deployments' workloads and measures what comes of them",
	Commands: []program.Command{demoEntry, loadEntry, benchEntry, controlEntry, overheadEntry, waitsEntry},
}

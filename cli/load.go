package cli

// Shelfload is the load tool: demo, load and bench.
var Shelfload = Program{
	Name:     "shelfload",
	Short:    "shelfload sends the deployments' workloads and measures what comes of them",
	Commands: []Command{demoEntry, loadEntry, benchEntry, controlEntry, overheadEntry},
}

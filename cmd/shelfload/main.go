// Command shelfload sends the deployments' workloads and measures what comes of
// them.
package main

import "github.com/shelfshelf/shelfshelf/cli"

func main() {
	cli.Shelfload.Main()
}

// Command shelfentry is an entry instance: it takes callers' requests, decides
// on its pools and dispatches.
package main

import "github.com/shelfshelf/shelfshelf/cli"

func main() {
	cli.Shelfentry.Main()
}

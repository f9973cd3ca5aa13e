// Command shelfnode is an instance on the users' platform: it takes callers'
// requests and sends each to a target.
package main

import "github.com/shelfshelf/shelfshelf/nodecli"

func main() {
	nodecli.Shelfnode.Main()
}

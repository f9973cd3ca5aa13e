// Command shelfctl is the operators' way to check, sign and roll bundles, and to
// see what instances do.
package main

import "github.com/shelfshelf/shelfshelf/cli"

func main() {
	cli.Shelfctl.Main()
}

// Command shelfburn reports how fast routes burn their error budgets.
package main

import "github.com/shelfshelf/shelfshelf/cli"

func main() {
	cli.Shelfburn.Main()
}

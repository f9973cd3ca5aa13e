// Command shelffake runs the stand-ins: a platform, a model engine or a plain
// service.
package main

import "github.com/shelfshelf/shelfshelf/cli"

func main() {
	cli.Shelffake.Main()
}

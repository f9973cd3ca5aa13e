// Package nodecli is the command line of shelfnode, the instance for the users'
// platform.
package nodecli

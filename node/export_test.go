package node

// Census returns how many instances one knows and how many of them it hears.
func Census(n *Node) (known, heard int) { return n.census() }

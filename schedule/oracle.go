package schedule

import "github.com/shelfshelf/shelfshelf"

const oracleUsage = "greedy upper bound: the shelfshelf policy with the engines' true speed and cache"

func newOracle(config Config) shelfshelf.Policy {
	return NewPool(config)
}

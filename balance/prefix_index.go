package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxPlacedParts bounds how many parts of prompts are remembered.
	maxPlacedParts = 20000
	// placementKept is how long a target is thought to hold a part after its last
	// use; memory that is needed elsewhere gives way earlier.
	placementKept = time.Minute
	// holdersPerPart is how many holders of one part are remembered.
	holdersPerPart = 4
)

// placements remembers which targets have read which parts of prompts.
type placements struct {
	holders map[string][]holder
}

type holder struct {
	target shelfshelf.TargetName
	at     time.Time
}

// add notes that a target has read a part; the newest holder stands first.
func (p *placements) add(now time.Time, part string, target shelfshelf.TargetName) {
	if p.holders == nil || len(p.holders) >= maxPlacedParts {
		// Starting anew loses only time that a cached prompt would have saved.
		p.holders = make(map[string][]holder)
	}
	list := []holder{{target: target, at: now}}
	for _, old := range p.holders[part] {
		if old.target != target && len(list) < holdersPerPart {
			list = append(list, old)
		}
	}
	p.holders[part] = list
}

// held returns how many of a prompt's first tokens a target is thought to hold.
func (p *placements) held(now time.Time, prompt []shelfshelf.PromptPart, target shelfshelf.TargetName) int {
	if n := len(prompt); n > 0 && p.holds(now, prompt[n-1].ID, target) {
		total := 0
		for _, part := range prompt {
			total += part.Tokens
		}
		return total
	}
	tokens := 0
	for _, part := range prompt {
		if !p.holds(now, part.ID, target) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (p *placements) holds(now time.Time, part string, target shelfshelf.TargetName) bool {
	for _, h := range p.holders[part] {
		if h.target == target {
			return now.Sub(h.at) < placementKept
		}
	}
	return false
}

// forget drops a target that is gone.
func (p *placements) forget(gone map[shelfshelf.TargetName]bool) {
	for part, list := range p.holders {
		var kept []holder
		for _, h := range list {
			if !gone[h.target] {
				kept = append(kept, h)
			}
		}
		if len(kept) == 0 {
			delete(p.holders, part)
			continue
		}
		p.holders[part] = kept
	}
}

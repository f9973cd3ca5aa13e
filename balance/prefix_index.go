package balance

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxCachedParts bounds how many prompt parts are remembered.
	maxCachedParts = 20000
	// cachedPartTTL is how long a target is assumed to have a part cached after its last use. A
	// target that needs the memory evicts the part earlier.
	cachedPartTTL = time.Minute
	// holdersPerPart is how many targets are remembered for one part.
	holdersPerPart = 4
)

// prefixIndex remembers which targets have recently prefilled which prompt parts. It is protected
// by Balancer.mu.
type prefixIndex struct {
	holders map[string][]holder
}

type holder struct {
	target shelfshelf.TargetName
	at     time.Time
}

// add records that a target has prefilled a part; the newest holder comes first.
func (p *prefixIndex) add(now time.Time, part string, target shelfshelf.TargetName) {
	if p.holders == nil || len(p.holders) >= maxCachedParts {
		// Clearing the index costs only the time that cached prompts would have saved.
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

// cachedTokens estimates how many tokens at the start of a prompt a target has cached. A target
// that has the last part is assumed to have all parts before it.
func (p *prefixIndex) cachedTokens(now time.Time, prompt []shelfshelf.PromptPart, target shelfshelf.TargetName) int {
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

func (p *prefixIndex) holds(now time.Time, part string, target shelfshelf.TargetName) bool {
	for _, h := range p.holders[part] {
		if h.target == target {
			return now.Sub(h.at) < cachedPartTTL
		}
	}
	return false
}

// forget drops targets that no longer exist.
func (p *prefixIndex) forget(removed map[shelfshelf.TargetName]bool) {
	for part, list := range p.holders {
		var kept []holder
		for _, h := range list {
			if !removed[h.target] {
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

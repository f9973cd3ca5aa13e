package quota

// othersSaveWithin is the age of a save up to which whoever made it is taken to be running: it is due every
// saveInterval.
const othersSaveWithin = 2 * saveInterval

// unknownToOthers reports whether instances are running that don't count this one, so that they hand out all that
// limits allow. The caller must hold l.mu.
func (l *Ledger) unknownToOthers() bool {
	return l.isIsolated() && l.Clock.Now().Sub(l.savedElsewhere) < othersSaveWithin
}

func (l *Ledger) isIsolated() bool { return l.Isolated != nil && l.Isolated() }

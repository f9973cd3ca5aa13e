package shelfshelf

// Outcome says what became of a request; the three values are never mixed.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeUnknown means the request may have run; it must not be dispatched again.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means the caller has the whole answer.
	OutcomeDone
	// OutcomeNotRun means that provably no target ran the request.
	OutcomeNotRun
)

// String returns the outcome as callers see it in a header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "unknown"
}

package shelfshelf

// Outcome is the result of a request. Its three values are strictly distinguished.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run; it must not be dispatched again.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the caller has received the whole response.
	OutcomeDone
	// OutcomeNotRun means that provably no target ran the request.
	OutcomeNotRun
)

// String returns the text sent to callers in a header.
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

package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// HeaderOutcome tells callers the outcome: done, not run or unknown. On a
	// stream it is a trailer.
	HeaderOutcome = "Shelfshelf-Outcome"
	// HeaderReason says why a request was not run, in a word.
	HeaderReason = "Shelfshelf-Reason"
	// HeaderTier lets a caller lower its tier, by the tier's name.
	HeaderTier = "Shelfshelf-Tier"
	// HeaderDeadline lets a caller shorten its deadline, such as 500ms.
	HeaderDeadline = "Shelfshelf-Deadline"
	// HeaderKey names a call that may not be repeated.
	HeaderKey = "Idempotency-Key"

	problemType = "application/problem+json"
	// typeBase begins the type of each problem; docs/API.md lists them.
	typeBase = "https://shelfshelf.example/problems/"
)

// problem is an answer that is not what the caller asked for (RFC 9457).
type problem struct {
	status  int
	kind    string
	title   string
	detail  string
	outcome shelfshelf.Outcome
	// retryAfter tells the caller when to come back; zero says nothing.
	retryAfter time.Duration
	// result is how metrics count the request; see Result.
	result Result
}

type wireProblem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId,omitempty"`
}

func (p *problem) wire(id shelfshelf.RequestID) wireProblem {
	return wireProblem{
		Type:      typeBase + p.kind,
		Title:     p.title,
		Status:    p.status,
		Detail:    p.detail,
		Outcome:   p.outcome.String(),
		RequestID: string(id),
	}
}

func (p *problem) write(w http.ResponseWriter, id shelfshelf.RequestID) {
	header := w.Header()
	header.Set("Content-Type", problemType)
	header.Set(HeaderOutcome, p.outcome.String())
	header.Set(HeaderReason, p.kind)
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(p.wire(id))
}

func badRequest(kind, detail string) *problem {
	return &problem{
		status:  http.StatusBadRequest,
		kind:    kind,
		title:   "The request can't be understood.",
		detail:  detail,
		outcome: shelfshelf.OutcomeNotRun,
		result:  ResultRefused,
	}
}

// refusalProblem tells a caller that its request was not granted.
func refusalProblem(decision shelfshelf.Decision) *problem {
	p := &problem{
		status:     http.StatusServiceUnavailable,
		outcome:    shelfshelf.OutcomeNotRun,
		retryAfter: decision.RetryAfter,
		result:     ResultRefused,
	}
	switch decision.Reason {
	case shelfshelf.RefusedShed:
		p.kind, p.title, p.result = "shed", "The request was shed because capacity is short.", ResultShed
	case shelfshelf.RefusedDeadline:
		p.kind, p.title = "deadline", "No target could answer in time."
	case shelfshelf.RefusedNoTarget:
		p.kind, p.title = "no-target", "No target serves this route now."
	case shelfshelf.RefusedLimit:
		p.kind, p.title, p.status = "limit", "The customer or the route is over its limit.", http.StatusTooManyRequests
	case shelfshelf.RefusedStopping:
		p.kind, p.title = "stopping", "The instance is stopping."
	default:
		p.kind, p.title = "refused", "The request was refused."
	}
	return p
}

func unknownProblem(detail string) *problem {
	return &problem{
		status:  http.StatusBadGateway,
		kind:    "unknown",
		title:   "The request may have run; its answer is lost.",
		detail:  detail,
		outcome: shelfshelf.OutcomeUnknown,
		result:  ResultUnknown,
	}
}

func notRunProblem(kind, detail string, retryAfter time.Duration) *problem {
	return &problem{
		status:     http.StatusServiceUnavailable,
		kind:       kind,
		title:      "The request was not run.",
		detail:     detail,
		outcome:    shelfshelf.OutcomeNotRun,
		retryAfter: retryAfter,
		result:     ResultRefused,
	}
}

package quota

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// Rule names the rule by which a charge was admitted or refused.
type Rule string

const (
	// RuleUnlimited admits customers without a limit.
	RuleUnlimited Rule = "unlimited"
	// RuleExpected admits what fits beside the usage expected of the other instances.
	RuleExpected Rule = "expected"
	// RuleEvenShare admits what fits into this instance's even share of the remaining limit.
	RuleEvenShare Rule = "even share"
	// RuleSingle admits a single large request while nothing else is unreported.
	RuleSingle Rule = "single"
	// RuleRefused refuses a charge.
	RuleRefused Rule = "refused"
)

// Verdict is the decision on a charge, with the figures behind it.
type Verdict struct {
	OK bool
	// Rule is the rule that decided.
	Rule Rule
	// Wait is after how long a refused customer may retry.
	Wait time.Duration
	// Allowed is what may be used in the window, Used what has been used, and Cost what this request
	// needs, in requests or tokens.
	Allowed float64
	Used    float64
	Cost    float64
	// Known is how many instances there are, and Live how many of them are live. Share is the part of
	// the limit that may be admitted: the share of the instances that are live.
	Known int
	Live  int
	Share float64
	// BeforeStart is the part of Used that this instance knows only from what was saved before its
	// start, or that it assumes.
	BeforeStart float64
	// ReportAge is the age of the oldest report of others that Used relies on.
	ReportAge time.Duration
	// ExpectedElsewhere is what the other instances are expected to use before their next report.
	// RecentlyRefused says that this instance has refused the customer lately, and so admits no more
	// than its even share (or one single large request), whatever is expected.
	ExpectedElsewhere float64
	RecentlyRefused   bool
	// UnsavedFor is since when usage isn't known to be saved, and PaceHeadroom how much may be used before that exceeds
	// what would be assumed after a restart of all; infinite while saves succeed.
	UnsavedFor   time.Duration
	PaceHeadroom float64
	// Charge identifies the charge for Refund and Recharge. It is empty if nothing was charged.
	Charge Charge
}

// Charge is a charge in the ledger.
type Charge struct {
	customer shelfshelf.CustomerKey
	tokens   float64
	// requests is 1, or 0 if nothing was charged.
	requests float64
	// interval is the number of the window's interval in which the charge counts.
	interval int64
}

package shelfshelf

import "time"

// Bundle is everything that operators declare; an accepted one is immutable.
type Bundle struct {
	// Name describes the bundle to people.
	Name string
	// Approvers are the keys that may sign the next bundle.
	Approvers []Approver
	// Threshold is how many distinct approvers must sign the next bundle.
	Threshold int
	Tiers     []TierSpec
	Pools     []Pool
	Customers []Customer
	Routes    []Route
	Targets   []Target
	// Callers bounds what callers may send, where the source of the bundle says so.
	Callers CallerLimits
}

// CallerLimits bound a caller's request; zero means unbounded.
type CallerLimits struct {
	BodyBytes int64
}

// Approver is a person's public signing key.
type Approver struct {
	Name string
	// PublicKey is an Ed25519 public key of 32 bytes.
	PublicKey []byte
}

// TierSpec describes one tier; its place in the list is its rank.
type TierSpec struct {
	Name string
	// Weight is the tier's worth in weighted goodput.
	Weight float64
	// MaxWait bounds how long a request of the tier may wait in line before it
	// goes ahead of higher tiers in the order of dispatch; zero means never.
	MaxWait time.Duration
}

// TargetKind tells a model engine from a plain service.
type TargetKind uint8

// The kinds of target.
const (
	// KindEngine is a model engine.
	KindEngine TargetKind = iota + 1
	// KindService is a plain service.
	KindService
)

// Pool is a set of targets that can serve the same routes.
type Pool struct {
	Name PoolName
	Kind TargetKind
	// Model is the name that the pool's engines know their model by.
	Model string
	// Role is what the pool's engines do: whole, prefill or decode.
	Role string
	// Engine describes the pool's engines; nil for plain services.
	Engine *EngineSpec
	// Cold is what its targets bear while they are cold; they never are if it is zero.
	Cold ColdSpec
}

// ColdSpec describes targets that are cold: slow, and soon overwhelmed.
type ColdSpec struct {
	// Time is how long a target is cold after it has started.
	Time time.Duration
	// PerSecond is how many requests a second it bears then; 0 if it bears any number.
	PerSecond float64
}

// EngineSpec describes a pool's engines.
type EngineSpec struct {
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// Limits bound what a customer or a route may send; zero means unbounded.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// RequestBurst and TokenBurst are what may come above the rates at once; zero
	// means the rate of one second.
	RequestBurst float64
	TokenBurst   float64
	// PlainTokens is what a request without a token count is charged, in tokens.
	PlainTokens int
}

// Customer is one paying user of the system.
type Customer struct {
	Name CustomerName
	// TokenHashes are SHA-256 hashes of the customer's bearer tokens.
	TokenHashes [][]byte
	// Weight is the customer's share inside a tier; 1 is usual.
	Weight float64
	// Rank orders customers before the tiers of their routes; 0 is first.
	Rank   int
	Limits Limits
	// Homes are the regions that the customer's requests may be served in.
	Homes Homes
	// Routes are the routes the customer may call; empty means all.
	Routes []RouteName
	// Tiers overrides a route's tier for this customer.
	Tiers map[RouteName]Tier
	// Legacy keeps routes of this customer on an old address until moved.
	Legacy map[RouteName]string
}

// RouteKind tells how a route is called.
type RouteKind uint8

// The kinds of route.
const (
	// RouteCompletion is called as an OpenAI-style completion.
	RouteCompletion RouteKind = iota + 1
	// RouteService is called by method and path.
	RouteService
	// RouteStream is called by host and path and answered by a series of events.
	RouteStream
)

// Route is one thing that callers can ask for.
type Route struct {
	Name RouteName
	Kind RouteKind
	Pool PoolName
	Tier Tier
	// Method and Path match a service route; Path uses net/http's patterns.
	Method string
	Path   string
	// Repeatable says that a call may run twice without harm.
	Repeatable bool
	// Deadline bounds the whole answer from arrival.
	Deadline time.Duration
	// FirstToken is the objective for the first token; zero means none.
	FirstToken time.Duration
	// ObjectiveShare is the share of requests to be answered in time, 0 to 1.
	ObjectiveShare float64
	// MaxPromptTokens and MaxOutputTokens bound one request, in tokens.
	MaxPromptTokens int
	MaxOutputTokens int
	Limits          Limits
	// Legacy keeps the whole route on an old address until it is moved.
	Legacy string
	// Host and PathPrefix match a route by host; the longest prefix wins.
	Host       string
	PathPrefix string
	// Shares splits the route between pools by weight; empty means all to Pool.
	Shares []PoolShare
	// Goal is when the answer, or a stream's first event, is due for its full worth.
	Goal time.Duration
	// EventGap is the longest pause between events that keeps a stream in time.
	EventGap time.Duration
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// Public says that callers need no key.
	Public bool
	// Resumable says that a broken stream may go on at another target.
	Resumable bool
	// Homes are the regions that the route's requests may be served in; those of the customer
	// count too.
	Homes Homes
}

// PoolShare is a pool's part of a route.
type PoolShare struct {
	Pool   PoolName
	Weight int
}

// Target is one back end.
type Target struct {
	Name       TargetName
	Kind       TargetKind
	Pool       PoolName
	DataCentre DataCentre
	// Address is the target's base URL.
	Address string
	// Leaving says that the target gets no new work.
	Leaving bool
	// Born is when the target's process started, by its own clock; zero if it doesn't tell.
	Born time.Time
	// Version is the software that the target runs; empty if it doesn't tell.
	Version TargetVersion
	// ColdFor is how much longer the target was cold when it wrote its entry.
	ColdFor time.Duration
	// Slots is how many requests the target works on at once.
	Slots int
	// PrefillRate is the declared speed of reading prompts, in tokens a second.
	PrefillRate float64
	// StepTime is the declared duration of one decoding step, or of one call
	// of a plain service.
	StepTime time.Duration
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// Generation names the hardware.
	Generation string
	// ChecksFences says that the target refuses orders with an old epoch.
	ChecksFences bool
	// Shared says that senders other than this system use the target too.
	Shared bool
}

// SameLife reports that two entries of a target are of the same start of its process, as
// far as they tell.
func (t Target) SameLife(other Target) bool {
	return t.Born.IsZero() || other.Born.IsZero() || t.Born.Equal(other.Born)
}

// Head points at the bundle in force.
type Head struct {
	Revision Revision
	// Digest is the SHA-256 of the signed bundle, in hexadecimal.
	Digest string
}

// Pool returns the pool of that name.
func (b *Bundle) Pool(name PoolName) (Pool, bool) {
	for _, pool := range b.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Route returns the route of that name.
func (b *Bundle) Route(name RouteName) (Route, bool) {
	for _, route := range b.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// PoolTargets returns the targets of a pool, leaving ones included.
func (b *Bundle) PoolTargets(name PoolName) []Target {
	var targets []Target
	for _, target := range b.Targets {
		if target.Pool == name {
			targets = append(targets, target)
		}
	}
	return targets
}

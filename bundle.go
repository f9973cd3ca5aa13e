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
}

// Limits bound what a customer or a route may send; zero means unbounded.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Customer is one paying user of the system.
type Customer struct {
	Name CustomerName
	// TokenHashes are SHA-256 hashes of the customer's bearer tokens.
	TokenHashes [][]byte
	// Weight is the customer's share inside a tier; 1 is usual.
	Weight float64
	Limits Limits
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

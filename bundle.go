package shelfshelf

import "time"

// Bundle is the whole configuration that operators declare. An accepted bundle is immutable.
type Bundle struct {
	// Name is a description for people.
	Name string
	// Approvers are the keys that may sign the next bundle.
	Approvers []Approver
	// Threshold is the number of distinct approvers that must sign the next bundle.
	Threshold int
	Tiers     []TierSpec
	Pools     []Pool
	Customers []Customer
	Routes    []Route
	Targets   []Target
	// CallerLimits limits what callers may send, if the source of the bundle sets such limits.
	CallerLimits CallerLimits
}

// CallerLimits limit a caller's request; zero means unlimited.
type CallerLimits struct {
	MaxBodyBytes int64
}

// Approver is a person's public signing key.
type Approver struct {
	Name string
	// PublicKey is an Ed25519 public key of 32 bytes.
	PublicKey []byte
}

// TierSpec describes one tier; its index in the list is its rank.
type TierSpec struct {
	Name string
	// Weight is the tier's weight in the weighted goodput.
	Weight float64
	// MaxWait is how long a request of the tier may be queued before it is dispatched ahead of higher
	// tiers; zero means never.
	MaxWait time.Duration
}

// TargetKind distinguishes model engines from plain services.
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
	// Model is the name by which the pool's engines know their model.
	Model string
	// Role is the part of the work that the pool's engines do: whole, prefill or decode.
	Role string
	// Engine describes the pool's engines; nil for plain services.
	Engine *EngineSpec
	// Cold describes the cold start of the pool's targets; zero means that they have none.
	Cold ColdSpec
}

// ColdSpec describes a cold start: for some time after its start, a target is slow and easily
// overloaded.
type ColdSpec struct {
	// Duration is how long a target is cold after it has started.
	Duration time.Duration
	// MaxRequestsPerSecond is the request rate that a cold target can handle; 0 means unlimited.
	MaxRequestsPerSecond float64
}

// EngineSpec describes a pool's engines.
type EngineSpec struct {
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Limits limit what a customer or a route may send; zero means unlimited.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	// RequestBurst and TokenBurst are the burst sizes above the rates; zero means the amount of one
	// second at the rate.
	RequestBurst float64
	TokenBurst   float64
	// DefaultRequestTokens is the number of tokens charged for a request that declares no token count.
	DefaultRequestTokens int
}

// Customer pays for requests.
type Customer struct {
	Name CustomerName
	// TokenHashes are SHA-256 hashes of the customer's bearer tokens.
	TokenHashes [][]byte
	// Weight is the customer's share within a tier; the usual value is 1.
	Weight float64
	// Rank orders customers and takes precedence over the tiers of their routes; 0 comes first.
	Rank   int
	Limits Limits
	// AllowedRegions are the allowed regions of the customer's requests.
	AllowedRegions RegionSet
	// Routes are the routes that the customer may call; empty means all.
	Routes []RouteName
	// Tiers overrides the tier of a route for this customer.
	Tiers map[RouteName]Tier
	// LegacyAddresses maps routes of this customer that have not been migrated yet to the old address that still
	// serves them.
	LegacyAddresses map[RouteName]string
}

// RouteKind is the way in which a route is called.
type RouteKind uint8

// The kinds of route.
const (
	// RouteCompletion is called with an OpenAI-style completion API.
	RouteCompletion RouteKind = iota + 1
	// RouteService is matched by method and path.
	RouteService
	// RouteStream is matched by host and path and answered with a stream of events.
	RouteStream
)

// Route is an endpoint that callers can request.
type Route struct {
	Name RouteName
	Kind RouteKind
	Pool PoolName
	Tier Tier
	// Method and Path match a service route; Path is a pattern of net/http.
	Method string
	Path   string
	// Repeatable is set if calls are idempotent: a call may run twice without harm.
	Repeatable bool
	// Deadline is the maximum time from the arrival of a request to the end of its response.
	Deadline time.Duration
	// FirstTokenGoal is the objective for the time to the first token; zero means none.
	FirstTokenGoal time.Duration
	// ObjectiveShare is the share of requests, from 0 to 1, that must be answered in time.
	ObjectiveShare float64
	// MaxPromptTokens and MaxOutputTokens limit a single request, in tokens.
	MaxPromptTokens int
	MaxOutputTokens int
	Limits          Limits
	// LegacyAddress is the old address that serves the whole route until it is migrated.
	LegacyAddress string
	// Host and PathPrefix match a route by its host; the longest prefix wins.
	Host       string
	PathPrefix string
	// PoolShares splits the route's requests between pools by weight; if empty, all go to Pool.
	PoolShares []PoolShare
	// LatencyGoal is the latency objective of the response, or of the first event of a stream. A later
	// response counts less than its full value.
	LatencyGoal time.Duration
	// MaxEventGap is the longest gap between two events with which a stream still counts as in time.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of targets that one request may be sent to.
	MaxAttempts int
	// Public is set if callers need no key.
	Public bool
	// Resumable is set if a broken stream may be resumed at another target.
	Resumable bool
	// AllowedRegions are the allowed regions of the route's requests. Those of the customer apply as well.
	AllowedRegions RegionSet
}

// PoolShare is the weight of one pool in a route.
type PoolShare struct {
	Pool   PoolName
	Weight int
}

// Target is a back end that serves requests.
type Target struct {
	Name       TargetName
	Kind       TargetKind
	Pool       PoolName
	DataCentre DataCentre
	// Address is the target's base URL.
	Address string
	// Leaving is set if the target is shutting down and gets no new requests.
	Leaving bool
	// StartedAt is the start time of the target's process by its own clock; zero if it is not reported.
	StartedAt time.Time
	// Version is the version of the software that the target runs; empty if it is not reported.
	Version TargetVersion
	// ColdRemaining is the remaining time of the target's cold start when the target wrote its entry.
	ColdRemaining time.Duration
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// PrefillRate is the declared prefill speed, in prompt tokens per second.
	PrefillRate float64
	// StepTime is the declared duration of one decoding step, or of one call of a plain service.
	StepTime time.Duration
	// CacheTokens is the size of the prefix cache, in tokens.
	CacheTokens int
	// HardwareGeneration is the hardware generation.
	HardwareGeneration string
	// ChecksFencingToken is set if the target rejects requests that carry an outdated fencing token (epoch).
	ChecksFencingToken bool
	// Shared is set if senders outside this system use the target too.
	Shared bool
}

// SameIncarnation reports whether two entries of a target may come from the same process: their start times
// are equal, or one of them is not reported.
func (t Target) SameIncarnation(other Target) bool {
	return t.StartedAt.IsZero() || other.StartedAt.IsZero() || t.StartedAt.Equal(other.StartedAt)
}

// Head identifies the bundle in force.
type Head struct {
	Revision Revision
	// Digest is the SHA-256 of the signed bundle, in hexadecimal.
	Digest string
}

// Pool returns the pool with the given name.
func (b *Bundle) Pool(name PoolName) (Pool, bool) {
	for _, pool := range b.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Route returns the route with the given name.
func (b *Bundle) Route(name RouteName) (Route, bool) {
	for _, route := range b.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// PoolTargets returns all targets of a pool, including those that are shutting down.
func (b *Bundle) PoolTargets(name PoolName) []Target {
	var targets []Target
	for _, target := range b.Targets {
		if target.Pool == name {
			targets = append(targets, target)
		}
	}
	return targets
}

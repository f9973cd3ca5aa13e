package bundle

import (
	_ "embed" // for the schema
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/jsondoc"
)

// Format is the version of the bundle format that this program reads.
const Format = 1

// Schema is the published JSON Schema of a bundle.
//
//go:embed schema.json
var Schema []byte

var compiledSchema = jsondoc.MustCompile("bundle.json", Schema)

// The wire types mirror the JSON; the domain types carry no tags.
type (
	wireBundle struct {
		Format    int            `json:"format"`
		Name      string         `json:"name"`
		Approvers []wireApprover `json:"approvers"`
		Threshold int            `json:"threshold"`
		Tiers     []wireTier     `json:"tiers"`
		Pools     []wirePool     `json:"pools"`
		Customers []wireCustomer `json:"customers"`
		Routes    []wireRoute    `json:"routes"`
		Targets   []wireTarget   `json:"targets"`
	}
	wireApprover struct {
		Name      string `json:"name"`
		PublicKey string `json:"publicKey"`
	}
	wireTier struct {
		Name    string  `json:"name"`
		Weight  float64 `json:"weight"`
		MaxWait string  `json:"maxWait,omitempty"`
	}
	wirePool struct {
		Name  string `json:"name"`
		Kind  string `json:"kind"`
		Model string `json:"model,omitempty"`
		Role  string `json:"role,omitempty"`
	}
	wireLimits struct {
		RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
		TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	}
	wireCustomer struct {
		Name        string            `json:"name"`
		TokenHashes []string          `json:"tokenHashes"`
		Weight      float64           `json:"weight,omitempty"`
		Limits      *wireLimits       `json:"limits,omitempty"`
		Routes      []string          `json:"routes,omitempty"`
		Tiers       map[string]string `json:"tiers,omitempty"`
		Legacy      map[string]string `json:"legacy,omitempty"`
	}
	wireRoute struct {
		Name            string      `json:"name"`
		Kind            string      `json:"kind"`
		Pool            string      `json:"pool"`
		Tier            string      `json:"tier"`
		Method          string      `json:"method,omitempty"`
		Path            string      `json:"path,omitempty"`
		Repeatable      *bool       `json:"repeatable,omitempty"`
		Deadline        string      `json:"deadline"`
		FirstToken      string      `json:"firstToken,omitempty"`
		ObjectiveShare  float64     `json:"objectiveShare,omitempty"`
		MaxPromptTokens int         `json:"maxPromptTokens,omitempty"`
		MaxOutputTokens int         `json:"maxOutputTokens,omitempty"`
		Limits          *wireLimits `json:"limits,omitempty"`
		Legacy          string      `json:"legacy,omitempty"`
	}
	wireTarget struct {
		Name         string  `json:"name"`
		Pool         string  `json:"pool"`
		DataCentre   string  `json:"dataCentre"`
		Address      string  `json:"address"`
		Leaving      bool    `json:"leaving,omitempty"`
		Slots        int     `json:"slots"`
		PrefillRate  float64 `json:"prefillRate,omitempty"`
		StepTime     string  `json:"stepTime,omitempty"`
		CacheTokens  int     `json:"cacheTokens,omitempty"`
		Generation   string  `json:"generation,omitempty"`
		ChecksFences bool    `json:"checksFences,omitempty"`
		Shared       bool    `json:"shared,omitempty"`
	}
)

const (
	kindEngine     = "engine"
	kindService    = "service"
	kindCompletion = "completion"

	defaultObjectiveShare  = 0.99
	defaultMaxPromptTokens = 32768
	defaultMaxOutputTokens = 4096
	defaultWeight          = 1
)

// Parse reads a bundle and finds every mistake in it; the error is a
// *jsondoc.MistakesError that names each mistake's field and line.
func Parse(name string, content []byte) (*shelfshelf.Bundle, error) {
	var format struct {
		Format int `json:"format"`
	}
	if json.Unmarshal(content, &format) == nil && format.Format > Format {
		text := fmt.Sprintf("the bundle has format %d, made for a newer program; this one reads %d", format.Format, Format)
		return nil, &jsondoc.MistakesError{Document: name, Mistakes: []jsondoc.Mistake{
			{Field: "format", Line: jsondoc.LineOf(content, []string{"format"}), Text: text},
		}}
	}
	var wire wireBundle
	if err := compiledSchema.Decode(name, content, &wire); err != nil {
		return nil, err
	}
	checker := &checker{name: name, content: content, wire: &wire}
	if err := checker.check(); err != nil {
		return nil, err
	}
	return wire.domain(), nil
}

func (w *wireBundle) domain() *shelfshelf.Bundle {
	bundle := &shelfshelf.Bundle{Name: w.Name, Threshold: w.Threshold}
	for _, approver := range w.Approvers {
		bundle.Approvers = append(bundle.Approvers, shelfshelf.Approver{
			Name:      approver.Name,
			PublicKey: mustHex(approver.PublicKey),
		})
	}
	ranks := make(map[string]shelfshelf.Tier, len(w.Tiers))
	for rank, tier := range w.Tiers {
		ranks[tier.Name] = shelfshelf.Tier(rank)
		bundle.Tiers = append(bundle.Tiers, shelfshelf.TierSpec{
			Name:    tier.Name,
			Weight:  tier.Weight,
			MaxWait: duration(tier.MaxWait),
		})
	}
	kinds := make(map[string]shelfshelf.TargetKind, len(w.Pools))
	for _, pool := range w.Pools {
		kinds[pool.Name] = targetKind(pool.Kind)
		bundle.Pools = append(bundle.Pools, shelfshelf.Pool{
			Name:  shelfshelf.PoolName(pool.Name),
			Kind:  kinds[pool.Name],
			Model: pool.Model,
			Role:  pool.Role,
		})
	}
	for _, customer := range w.Customers {
		bundle.Customers = append(bundle.Customers, customer.domain(ranks))
	}
	for _, route := range w.Routes {
		bundle.Routes = append(bundle.Routes, route.domain(ranks))
	}
	for _, target := range w.Targets {
		bundle.Targets = append(bundle.Targets, target.domain(kinds))
	}
	return bundle
}

func (w *wireCustomer) domain(ranks map[string]shelfshelf.Tier) shelfshelf.Customer {
	customer := shelfshelf.Customer{
		Name:            shelfshelf.CustomerName(w.Name),
		Weight:          orDefault(w.Weight, defaultWeight),
		Limits:          w.Limits.domain(),
		Tiers:           make(map[shelfshelf.RouteName]shelfshelf.Tier, len(w.Tiers)),
		LegacyAddresses: make(map[shelfshelf.RouteName]string, len(w.Legacy)),
	}
	for _, hash := range w.TokenHashes {
		customer.TokenHashes = append(customer.TokenHashes, mustHex(hash))
	}
	for _, route := range w.Routes {
		customer.Routes = append(customer.Routes, shelfshelf.RouteName(route))
	}
	for route, tier := range w.Tiers {
		customer.Tiers[shelfshelf.RouteName(route)] = ranks[tier]
	}
	for route, address := range w.Legacy {
		customer.LegacyAddresses[shelfshelf.RouteName(route)] = address
	}
	return customer
}

func (w *wireRoute) domain(ranks map[string]shelfshelf.Tier) shelfshelf.Route {
	route := shelfshelf.Route{
		Name:            shelfshelf.RouteName(w.Name),
		Kind:            shelfshelf.RouteService,
		Pool:            shelfshelf.PoolName(w.Pool),
		Tier:            ranks[w.Tier],
		Method:          w.Method,
		Path:            w.Path,
		Repeatable:      w.Repeatable == nil || *w.Repeatable,
		Deadline:        duration(w.Deadline),
		FirstTokenGoal:  duration(w.FirstToken),
		ObjectiveShare:  orDefault(w.ObjectiveShare, defaultObjectiveShare),
		MaxPromptTokens: orDefault(w.MaxPromptTokens, defaultMaxPromptTokens),
		MaxOutputTokens: orDefault(w.MaxOutputTokens, defaultMaxOutputTokens),
		Limits:          w.Limits.domain(),
		LegacyAddress:   w.Legacy,
	}
	if w.Kind == kindCompletion {
		route.Kind = shelfshelf.RouteCompletion
	}
	return route
}

func (w *wireTarget) domain(kinds map[string]shelfshelf.TargetKind) shelfshelf.Target {
	return shelfshelf.Target{
		Name:               shelfshelf.TargetName(w.Name),
		Kind:               kinds[w.Pool],
		Pool:               shelfshelf.PoolName(w.Pool),
		DataCentre:         shelfshelf.DataCentre(w.DataCentre),
		Address:            w.Address,
		Leaving:            w.Leaving,
		Slots:              w.Slots,
		PrefillRate:        w.PrefillRate,
		StepTime:           duration(w.StepTime),
		CacheTokens:        w.CacheTokens,
		HardwareGeneration: w.Generation,
		ChecksFencingToken: w.ChecksFences,
		Shared:             w.Shared,
	}
}

func (w *wireLimits) domain() shelfshelf.Limits {
	if w == nil {
		return shelfshelf.Limits{}
	}
	return shelfshelf.Limits{
		RequestsPerSecond: w.RequestsPerSecond,
		TokensPerSecond:   w.TokensPerSecond,
	}
}

func targetKind(kind string) shelfshelf.TargetKind {
	if kind == kindEngine {
		return shelfshelf.KindEngine
	}
	return shelfshelf.KindService
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// duration maps a text that the schema has checked; empty means zero.
func duration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return parsed
}

// mustHex maps a text that the schema has checked.
func mustHex(text string) []byte {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return nil
	}
	return decoded
}

package bundle

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/shelfshelf/shelfshelf/jsondoc"
)

// checker looks for mistakes that a schema can't express: names that point
// nowhere, names that stand twice, and declarations that contradict each other.
type checker struct {
	name     string
	content  []byte
	wire     *wireBundle
	mistakes []jsondoc.Mistake

	tiers  map[string]bool
	pools  map[string]wirePool
	routes map[string]bool
	staffs map[string]int
	// paths holds the service routes' patterns.
	paths *http.ServeMux
}

func (c *checker) check() error {
	c.tiers = make(map[string]bool)
	c.pools = make(map[string]wirePool)
	c.routes = make(map[string]bool)
	c.staffs = make(map[string]int)
	c.paths = http.NewServeMux()
	c.checkApprovers()
	c.checkTiers()
	c.checkPools()
	c.checkTargets()
	c.checkRoutes()
	c.checkCustomers()
	if len(c.mistakes) == 0 {
		return nil
	}
	return &jsondoc.MistakesError{Document: c.name, Mistakes: c.mistakes}
}

func (c *checker) add(text string, location ...string) {
	c.mistakes = append(c.mistakes, jsondoc.Mistake{
		Field: jsondoc.FieldPath(location),
		Line:  jsondoc.LineOf(c.content, location),
		Text:  text,
	})
}

func (c *checker) checkApprovers() {
	names := make(map[string]bool)
	keys := make(map[string]bool)
	for i, approver := range c.wire.Approvers {
		at := strconv.Itoa(i)
		if names[approver.Name] {
			c.add(fmt.Sprintf("approver %q stands twice", approver.Name), "approvers", at, "name")
		}
		if keys[approver.PublicKey] {
			c.add("the key stands twice, so one person could sign for two", "approvers", at, "publicKey")
		}
		names[approver.Name] = true
		keys[approver.PublicKey] = true
	}
	if c.wire.Threshold > len(c.wire.Approvers) {
		c.add(fmt.Sprintf("threshold %d is more than the %d approvers, so nothing could be rolled after this bundle",
			c.wire.Threshold, len(c.wire.Approvers)), "threshold")
	}
}

func (c *checker) checkTiers() {
	for i, tier := range c.wire.Tiers {
		at := strconv.Itoa(i)
		if c.tiers[tier.Name] {
			c.add(fmt.Sprintf("tier %q stands twice", tier.Name), "tiers", at, "name")
		}
		c.tiers[tier.Name] = true
		if i > 0 && tier.Weight > c.wire.Tiers[i-1].Weight {
			c.add(fmt.Sprintf("tier %q has more weight than the higher tier %q: tiers go from the highest down",
				tier.Name, c.wire.Tiers[i-1].Name), "tiers", at, "weight")
		}
	}
}

func (c *checker) checkPools() {
	for i, pool := range c.wire.Pools {
		at := strconv.Itoa(i)
		if _, twice := c.pools[pool.Name]; twice {
			c.add(fmt.Sprintf("pool %q stands twice", pool.Name), "pools", at, "name")
		}
		c.pools[pool.Name] = pool
		if pool.Kind == kindEngine && pool.Model == "" {
			c.add("a pool of engines needs a model", "pools", at)
		}
	}
}

func (c *checker) checkTargets() {
	names := make(map[string]bool)
	for i, target := range c.wire.Targets {
		at := strconv.Itoa(i)
		if names[target.Name] {
			c.add(fmt.Sprintf("target %q stands twice", target.Name), "targets", at, "name")
		}
		names[target.Name] = true
		pool, known := c.pools[target.Pool]
		if !known {
			c.add(fmt.Sprintf("unknown pool %q", target.Pool), "targets", at, "pool")
			continue
		}
		if !target.Leaving {
			c.staffs[target.Pool]++
		}
		if pool.Kind == kindEngine && target.PrefillRate == 0 {
			c.add("an engine needs prefillRate", "targets", at)
		}
		if target.StepTime == "" {
			c.add("a target needs stepTime", "targets", at)
		}
	}
}

func (c *checker) checkRoutes() {
	matches := make(map[string]string)
	for i, route := range c.wire.Routes {
		at := strconv.Itoa(i)
		if c.routes[route.Name] {
			c.add(fmt.Sprintf("route %q stands twice", route.Name), "routes", at, "name")
		}
		c.routes[route.Name] = true
		if !c.tiers[route.Tier] {
			c.add(fmt.Sprintf("unknown tier %q", route.Tier), "routes", at, "tier")
		}
		c.checkRoutePool(route, at)
		if route.FirstToken != "" && duration(route.FirstToken) > duration(route.Deadline) {
			c.add("firstToken is longer than deadline", "routes", at, "firstToken")
		}
		if route.Kind != kindService {
			continue
		}
		if route.Method == "" || route.Path == "" {
			c.add("a service route needs method and path", "routes", at)
			continue
		}
		match := route.Method + " " + route.Path
		if other, twice := matches[match]; twice {
			c.add(fmt.Sprintf("%s is route %q already", match, other), "routes", at, "path")
		}
		matches[match] = route.Name
		if text := register(c.paths, match); text != "" {
			c.add(text, "routes", at, "path")
		}
	}
}

// register tries a pattern as the instances will: net/http panics on one that it
// can't read or that conflicts with another.
func register(mux *http.ServeMux, pattern string) (mistake string) {
	defer func() {
		if problem := recover(); problem != nil {
			mistake = fmt.Sprint(problem)
		}
	}()
	mux.HandleFunc(pattern, http.NotFound)
	return ""
}

func (c *checker) checkRoutePool(route wireRoute, at string) {
	pool, known := c.pools[route.Pool]
	if !known {
		c.add(fmt.Sprintf("unknown pool %q", route.Pool), "routes", at, "pool")
		return
	}
	if (route.Kind == kindCompletion) != (pool.Kind == kindEngine) {
		c.add(fmt.Sprintf("a %s route can't use pool %q, which has targets of kind %s", route.Kind, route.Pool, pool.Kind),
			"routes", at, "pool")
	}
	if c.staffs[route.Pool] == 0 && route.Legacy == "" {
		c.add(fmt.Sprintf("pool %q has no target that stays", route.Pool), "routes", at, "pool")
	}
	if route.Kind == kindCompletion && route.Repeatable != nil && !*route.Repeatable {
		c.add("a route that may not be repeated can't stream from an engine", "routes", at, "repeatable")
	}
}

func (c *checker) checkCustomers() {
	names := make(map[string]bool)
	hashes := make(map[string]string)
	for i, customer := range c.wire.Customers {
		at := strconv.Itoa(i)
		if names[customer.Name] {
			c.add(fmt.Sprintf("customer %q stands twice", customer.Name), "customers", at, "name")
		}
		names[customer.Name] = true
		for j, hash := range customer.TokenHashes {
			if other, twice := hashes[hash]; twice {
				c.add(fmt.Sprintf("the token is customer %q's already", other), "customers", at, "tokenHashes", strconv.Itoa(j))
			}
			hashes[hash] = customer.Name
		}
		for j, route := range customer.Routes {
			if !c.routes[route] {
				c.add(fmt.Sprintf("unknown route %q", route), "customers", at, "routes", strconv.Itoa(j))
			}
		}
		for route, tier := range customer.Tiers {
			if !c.routes[route] {
				c.add(fmt.Sprintf("unknown route %q", route), "customers", at, "tiers")
			}
			if !c.tiers[tier] {
				c.add(fmt.Sprintf("unknown tier %q", tier), "customers", at, "tiers", route)
			}
		}
		for route := range customer.Legacy {
			if !c.routes[route] {
				c.add(fmt.Sprintf("unknown route %q", route), "customers", at, "legacy")
			}
		}
	}
}

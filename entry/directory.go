package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
)

// directory is a bundle in force, indexed for requests.
type directory struct {
	accepted  *bundle.Accepted
	customers map[[sha256.Size]byte]*shelfshelf.Customer
	routes    map[shelfshelf.RouteName]*shelfshelf.Route
	pools     map[shelfshelf.PoolName]*shelfshelf.Pool
	targets   map[shelfshelf.TargetName]*shelfshelf.Target
	tiers     map[string]shelfshelf.Tier
	services  *http.ServeMux
}

// newDirectory indexes a bundle; serve handles the service routes.
func newDirectory(accepted *bundle.Accepted, serve func(*shelfshelf.Route) http.HandlerFunc) *directory {
	d := &directory{
		accepted:  accepted,
		customers: make(map[[sha256.Size]byte]*shelfshelf.Customer),
		routes:    make(map[shelfshelf.RouteName]*shelfshelf.Route),
		pools:     make(map[shelfshelf.PoolName]*shelfshelf.Pool),
		targets:   make(map[shelfshelf.TargetName]*shelfshelf.Target),
		tiers:     make(map[string]shelfshelf.Tier),
		services:  http.NewServeMux(),
	}
	content := accepted.Bundle
	for i := range content.Customers {
		for _, hash := range content.Customers[i].TokenHashes {
			d.customers[[sha256.Size]byte(hash)] = &content.Customers[i]
		}
	}
	for i := range content.Pools {
		d.pools[content.Pools[i].Name] = &content.Pools[i]
	}
	for i := range content.Targets {
		d.targets[content.Targets[i].Name] = &content.Targets[i]
	}
	for rank, tier := range content.Tiers {
		d.tiers[tier.Name] = shelfshelf.Tier(rank)
	}
	for i := range content.Routes {
		route := &content.Routes[i]
		d.routes[route.Name] = route
		if route.Kind == shelfshelf.RouteService {
			d.services.HandleFunc(route.Method+" "+route.Path, serve(route))
		}
	}
	return d
}

// customer finds who a request is from by its bearer token; nil if unknown.
func (d *directory) customer(r *http.Request) *shelfshelf.Customer {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "bearer") {
		return nil
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(token)))
	customer := d.customers[sum]
	if customer == nil {
		return nil
	}
	for _, hash := range customer.TokenHashes {
		if subtle.ConstantTimeCompare(hash, sum[:]) == 1 {
			return customer
		}
	}
	return nil
}

// allowed reports whether a customer may call a route.
func allowed(customer *shelfshelf.Customer, route shelfshelf.RouteName) bool {
	return len(customer.Routes) == 0 || slices.Contains(customer.Routes, route)
}

// legacyAddress returns the old address that a customer's calls of a route still
// go to; empty once they are moved.
func legacyAddress(customer *shelfshelf.Customer, route *shelfshelf.Route) string {
	if address := customer.LegacyAddresses[route.Name]; address != "" {
		return address
	}
	return route.LegacyAddress
}

// tierOf returns a customer's tier on a route.
func tierOf(customer *shelfshelf.Customer, route *shelfshelf.Route) shelfshelf.Tier {
	if tier, set := customer.Tiers[route.Name]; set {
		return tier
	}
	return route.Tier
}

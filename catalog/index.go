package catalog

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/shelfshelf/shelfshelf"
)

// Index is an immutable configuration with look-up tables.
type Index struct {
	Revision shelfshelf.Revision
	Bundle   *shelfshelf.Bundle
	// Encoded is the serialized form that instances send to each other.
	Encoded []byte

	hosts     map[string]*hostRoutes
	customers map[[sha256.Size]byte]*shelfshelf.Customer
	pools     map[shelfshelf.PoolName]*shelfshelf.Pool
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	// lengths are the distinct lengths of the path prefixes, in descending order.
	lengths  []int
	byPrefix map[string]*shelfshelf.Route
}

// NewIndex builds the look-up tables of a configuration.
func NewIndex(configuration *shelfshelf.Configuration) *Index {
	bundle := configuration.Bundle
	index := &Index{
		Revision:  configuration.Revision,
		Bundle:    bundle,
		Encoded:   configuration.Encoded,
		hosts:     make(map[string]*hostRoutes),
		customers: make(map[[sha256.Size]byte]*shelfshelf.Customer),
		pools:     make(map[shelfshelf.PoolName]*shelfshelf.Pool),
	}
	for i := range bundle.Routes {
		index.addRoute(&bundle.Routes[i])
	}
	for _, routes := range index.hosts {
		slices.SortFunc(routes.lengths, func(a, b int) int { return b - a })
		routes.lengths = slices.Compact(routes.lengths)
	}
	for i := range bundle.Customers {
		for _, hash := range bundle.Customers[i].TokenHashes {
			index.customers[[sha256.Size]byte(hash)] = &bundle.Customers[i]
		}
	}
	for i := range bundle.Pools {
		index.pools[bundle.Pools[i].Name] = &bundle.Pools[i]
	}
	return index
}

// addRoute adds a route. If two routes have the same host and prefix, the first one wins.
func (i *Index) addRoute(route *shelfshelf.Route) {
	host := strings.ToLower(route.Host)
	routes := i.hosts[host]
	if routes == nil {
		routes = &hostRoutes{byPrefix: make(map[string]*shelfshelf.Route)}
		i.hosts[host] = routes
	}
	if _, exists := routes.byPrefix[route.PathPrefix]; exists {
		return
	}
	routes.byPrefix[route.PathPrefix] = route
	routes.lengths = append(routes.lengths, len(route.PathPrefix))
}

// Route returns the route with the longest prefix that matches a host and path, or nil if there is none. It
// does one look-up per distinct prefix length, independent of the number of routes.
func (i *Index) Route(host, path string) *shelfshelf.Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	routes := i.hosts[strings.ToLower(host)]
	if routes == nil {
		return nil
	}
	for _, length := range routes.lengths {
		if length > len(path) {
			continue
		}
		if route := routes.byPrefix[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}

// Customer returns the customer that an API key belongs to, or nil if there is none.
func (i *Index) Customer(key string) *shelfshelf.Customer {
	return i.customers[sha256.Sum256([]byte(key))]
}

// Pool returns the pool of that name, or nil if there is none.
func (i *Index) Pool(name shelfshelf.PoolName) *shelfshelf.Pool {
	return i.pools[name]
}

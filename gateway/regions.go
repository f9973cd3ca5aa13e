package gateway

import "github.com/shelfshelf/shelfshelf"

// allowedRegions returns the regions in which the request may be served now. A configuration that
// became effective after the request arrived may have narrowed them.
func (c *request) allowedRegions() shelfshelf.RegionSet {
	allowed := regionsAllowedBy(c.route, c.customer)
	newest, _ := c.server.Catalog.Index()
	if newest == c.index {
		return allowed
	}
	route := newest.Route(c.incoming.Host, c.incoming.URL.Path)
	return allowed.Intersect(regionsAllowedBy(route, newest.Customer(c.call.Key)))
}

// regionsAllowedBy returns the regions that both the route and the customer allow. Either may be nil.
func regionsAllowedBy(route *shelfshelf.Route, customer *shelfshelf.Customer) shelfshelf.RegionSet {
	var allowed shelfshelf.RegionSet
	if route != nil {
		allowed = route.AllowedRegions
	}
	if customer != nil {
		allowed = allowed.Intersect(customer.AllowedRegions)
	}
	return allowed
}

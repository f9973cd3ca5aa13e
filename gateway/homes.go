package gateway

import "github.com/shelfshelf/shelfshelf"

// homes returns the regions that the request may be served in now: a configuration that has come
// since the request did may have narrowed them.
func (c *request) homes() shelfshelf.Homes {
	homes := homesOf(c.route, c.customer)
	newest, _ := c.server.Catalog.Index()
	if newest == c.index {
		return homes
	}
	route := newest.Route(c.http.Host, c.http.URL.Path)
	return homes.And(homesOf(route, newest.Customer(c.call.Key)))
}

// homesOf returns the regions that a route and a customer both allow; either may be nil.
func homesOf(route *shelfshelf.Route, customer *shelfshelf.Customer) shelfshelf.Homes {
	var homes shelfshelf.Homes
	if route != nil {
		homes = route.Homes
	}
	if customer != nil {
		homes = homes.And(customer.Homes)
	}
	return homes
}

// Package shelfshelf holds the domain types and every interface of the request
// scheduler: what a bundle declares, what a caller asks, what a policy decides,
// and what the platform and the targets offer. Implementations live in the
// packages below it; this package imports none of them and does no I/O.
package shelfshelf

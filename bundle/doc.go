// Package bundle reads, checks, signs and rolls the bundles that operators
// write. Content lies in the object store under its digest; one row of the
// table service, the head, says which content is in force, at a revision that
// only grows.
package bundle

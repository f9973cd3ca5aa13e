// Package instance puts the parts of an entry instance together and runs them:
// callers' face, pool owner, members, peers, bundles and claims.
package instance

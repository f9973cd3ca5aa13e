// Package crashes knows, over all instances together, under which requests targets have
// ended, and holds those back that end whatever runs them: a request that comes again is
// known by what it asks for, not by its id.
package crashes

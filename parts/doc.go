// Package parts cuts a text into parts whose boundaries depend on what stands around
// them, so that two texts that differ in few places have most parts in common, wherever
// something was added or taken out.
package parts

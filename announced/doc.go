// Package announced knows what targets say of themselves in their answers: how many requests a
// second one takes from all instances together, for as long as its answers say so; that it
// leaves, which holds for the rest of its life; and for how long it wants nothing more of this
// instance after it has turned a request away.
//
// Every answer that this instance reads is told to the Record, whoever asked for it, and
// instances tell each other what they know, but for rests, with their statuses and with each ask
// for a place.
// A Gate gives out sends at a rate; the owner of a target's places keeps one for each target
// with a limit (package places).
package announced

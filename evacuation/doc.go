// Package evacuation keeps which data centres' targets are to get nothing new: as the store has it, as
// another instance tells it, and for a moment longer where the store has come back from an older copy.
package evacuation

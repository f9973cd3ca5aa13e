// Package evacuation tracks which data centres are evacuated: their targets get no new requests. It
// combines what the store holds with what other instances report. If the store is restored from an
// older copy, evacuations missing there stay in force for a short grace period.
package evacuation

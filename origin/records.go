package origin

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// maxRecords bounds the records of an instance: some 5 MB.
	maxRecords = 32 << 10
	// sweepInterval is how often expired records are removed at most.
	sweepInterval = 5 * time.Second
	// maxLifetime bounds the lifetime that a caller's timeout can give a record.
	maxLifetime = 2 * time.Minute
)

// record says where a stream began.
type record struct {
	version shelfshelf.TargetVersion
	expires time.Time
	// pool is set for streams that began at this instance.
	pool shelfshelf.PoolName
	// conflicting says that two streams with the same key began at different versions, so that nobody can
	// tell which of them a caller means.
	conflicting bool
}

// sharedRecord is a record as it goes from instance to instance.
type sharedRecord struct {
	shelfshelf.StreamOrigin
	conflicting bool
}

// records holds the records of one instance. It is protected by Registry.mu.
type records struct {
	byKey   map[shelfshelf.StreamKey]record
	sweptAt time.Time
	// dropped counts the records for which there was no room, and loggedDropped those of them that were logged.
	dropped       uint64
	loggedDropped uint64
}

// put adds a record, and reports false if there is no room for it.
func (r *records) put(told sharedRecord, now time.Time) bool {
	origin := told.StreamOrigin
	if r.byKey == nil {
		r.byKey = make(map[shelfshelf.StreamKey]record)
	}
	if now.Sub(r.sweptAt) >= sweepInterval {
		r.sweep(now)
	}
	added := record{version: origin.Version, pool: origin.Pool, conflicting: told.conflicting, expires: now.Add(min(origin.Lifetime, maxLifetime))}
	known, found := r.get(origin.Key, now)
	if !found && len(r.byKey) >= maxRecords {
		r.dropped++
		return false
	}
	if found {
		added.conflicting = told.conflicting || known.conflicting || known.version != origin.Version
		added.expires = shelfshelf.Later(known.expires, added.expires)
		if added.pool == "" {
			added.pool = known.pool
		}
	}
	r.byKey[origin.Key] = added
	return true
}

// get returns the record of a stream.
func (r *records) get(key shelfshelf.StreamKey, now time.Time) (record, bool) {
	known, found := r.byKey[key]
	return known, found && now.Before(known.expires)
}

// sweep removes the expired records.
func (r *records) sweep(now time.Time) {
	r.sweptAt = now
	for key, known := range r.byKey {
		if !now.Before(known.expires) {
			delete(r.byKey, key)
		}
	}
}

// list returns the records that a condition accepts.
func (r *records) list(now time.Time, accepts func(record) bool) []sharedRecord {
	var told []sharedRecord
	for key, known := range r.byKey {
		if now.Before(known.expires) && accepts(known) {
			origin := shelfshelf.StreamOrigin{Key: key, Version: known.version, Lifetime: known.expires.Sub(now)}
			told = append(told, sharedRecord{StreamOrigin: origin, conflicting: known.conflicting})
		}
	}
	return told
}

package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/parts"
)

// The resources that instances serve to each other. Each name is also the URL path and the kind in logs
// and metrics.
const (
	// kindConfiguration is the manifest of a configuration, kindParts are the parts it lists.
	kindConfiguration = "configuration"
	kindParts         = "parts"
	kindTargets       = "targets"
	kindUsage         = "uses"
	kindCrashes       = "crashes"
	kindVersions      = "versions"
	kindInstances     = "instances"
)

type (
	wireManifest struct {
		_ struct{} `cbor:",toarray"`
		// Age is the time since the configuration was last known to be the newest, in nanoseconds.
		Age      int64
		Revision uint64
		Size     int
		// IDs are the concatenated IDs of the parts.
		IDs []byte
	}
	wireTargets struct {
		_       struct{} `cbor:",toarray"`
		Age     int64
		Version uint64
		// After is the version of the list that Targets and Removed are relative to, or 0 if Targets is
		// the whole list.
		After   uint64
		Targets []wireTarget
		Removed []string
	}
	// wireTargetsLeaving is what an instance gets that asks for paramLeaving.
	wireTargetsLeaving struct {
		_       struct{} `cbor:",toarray"`
		Targets wireTargets
		// LeavingFor is for how long targets that are leaving can have been so, in nanoseconds.
		LeavingFor map[string]int64
	}
	wireTarget struct {
		_          struct{} `cbor:",toarray"`
		Name       string
		Pool       string
		DataCentre string
		Address    string
		Leaving    bool
		Slots      int
		// KeptFor is how much longer a target that is missing from the store is used, in nanoseconds; 0
		// for a target that the store has.
		KeptFor int64
		// BornMillis is the start time of the target as a Unix time in milliseconds, or 0 if unknown.
		BornMillis int64
		Version    string
		// ColdFor is in nanoseconds.
		ColdFor int64
	}
)

func encodeManifest(m manifest) ([]byte, error) {
	wire := wireManifest{Age: int64(m.age), Revision: uint64(m.revision), Size: m.size, IDs: encodeIDs(m.ids)}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode configuration")
}

func decodeManifest(content []byte) (manifest, error) {
	var wire wireManifest
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return manifest{}, eris.Wrap(err, "decode configuration")
	}
	ids, err := decodeIDs(wire.IDs)
	if err != nil {
		return manifest{}, err
	}
	if wire.Size < 0 || wire.Size > maxFetchBytes {
		return manifest{}, eris.Errorf("decode configuration: invalid size of %d bytes", wire.Size)
	}
	return manifest{age: time.Duration(wire.Age), revision: shelfshelf.Revision(wire.Revision), size: wire.Size, ids: ids}, nil
}

func encodeIDs(ids []parts.ID) []byte {
	var content []byte
	for _, id := range ids {
		content = append(content, id[:]...)
	}
	return content
}

func decodeIDs(content []byte) ([]parts.ID, error) {
	var ids []parts.ID
	for ; len(content) >= len(parts.ID{}); content = content[len(parts.ID{}):] {
		ids = append(ids, parts.ID(content[:len(parts.ID{})]))
	}
	if len(content) > 0 {
		return nil, eris.New("decode names of parts: the last one is cut off")
	}
	return ids, nil
}

func encodeParts(batch [][]byte) ([]byte, error) {
	content, err := cbor.Marshal(batch)
	return content, eris.Wrap(err, "encode parts")
}

func decodeParts(content []byte) ([][]byte, error) {
	var batch [][]byte
	err := cbor.Unmarshal(content, &batch)
	return batch, eris.Wrap(err, "decode parts")
}

// encodeTargets encodes a list of targets, with since when they can have been leaving if the other instance asks for
// that: builds that don't know it can't decode it.
func encodeTargets(delta catalog.Delta, now time.Time, leaving bool) ([]byte, error) {
	wire := wireTargets{Age: int64(now.Sub(delta.ValidAt)), Version: delta.Version, After: delta.Since}
	for _, name := range delta.Removed {
		wire.Removed = append(wire.Removed, string(name))
	}
	for _, target := range delta.Targets {
		wire.Targets = append(wire.Targets, wireTarget{
			Name:       string(target.Name),
			Pool:       string(target.Pool),
			DataCentre: string(target.DataCentre),
			Address:    target.Address,
			Leaving:    target.Leaving,
			Slots:      target.Slots,
			KeptFor:    remainingNanos(delta.RetainedUntil[target.Name], now),
			BornMillis: unixMillis(target.StartedAt),
			Version:    string(target.Version),
			ColdFor:    int64(target.ColdRemaining),
		})
	}
	if !leaving {
		content, err := cbor.Marshal(wire)
		return content, eris.Wrap(err, "encode targets")
	}
	withLeaving := wireTargetsLeaving{Targets: wire, LeavingFor: make(map[string]int64, len(delta.LeavingSince))}
	for name, since := range delta.LeavingSince {
		withLeaving.LeavingFor[string(name)] = int64(now.Sub(since))
	}
	content, err := cbor.Marshal(withLeaving)
	return content, eris.Wrap(err, "encode targets")
}

func unixMillis(startedAt time.Time) int64 {
	if startedAt.IsZero() {
		return 0
	}
	return startedAt.UnixMilli()
}

func timeFromUnixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func remainingNanos(until, now time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return int64(max(until.Sub(now), 1))
}

// decodeTargets decodes a list of targets. The ages in it count back from requestedAt, when the list was
// requested.
func decodeTargets(content []byte, requestedAt time.Time) (catalog.Delta, error) {
	var withLeaving wireTargetsLeaving
	if cbor.Unmarshal(content, &withLeaving) != nil {
		// A build that doesn't know paramLeaving sends the list alone.
		withLeaving = wireTargetsLeaving{}
		if err := cbor.Unmarshal(content, &withLeaving.Targets); err != nil {
			return catalog.Delta{}, eris.Wrap(err, "decode targets")
		}
	}
	wire := withLeaving.Targets
	delta := catalog.Delta{
		Snapshot: catalog.Snapshot{
			Version:       wire.Version,
			ValidAt:       requestedAt.Add(-time.Duration(wire.Age)),
			RetainedUntil: make(map[shelfshelf.TargetName]time.Time),
			LeavingSince:  make(map[shelfshelf.TargetName]time.Time),
		},
		Full:  wire.After == 0,
		Since: wire.After,
	}
	for name, age := range withLeaving.LeavingFor {
		delta.LeavingSince[shelfshelf.TargetName(name)] = requestedAt.Add(-time.Duration(max(age, 0)))
	}
	for _, name := range wire.Removed {
		delta.Removed = append(delta.Removed, shelfshelf.TargetName(name))
	}
	for _, target := range wire.Targets {
		if target.KeptFor > 0 {
			delta.RetainedUntil[shelfshelf.TargetName(target.Name)] = requestedAt.Add(time.Duration(target.KeptFor))
		}
		delta.Targets = append(delta.Targets, shelfshelf.Target{
			Name:          shelfshelf.TargetName(target.Name),
			Pool:          shelfshelf.PoolName(target.Pool),
			DataCentre:    shelfshelf.DataCentre(target.DataCentre),
			Address:       target.Address,
			Leaving:       target.Leaving,
			Slots:         target.Slots,
			StartedAt:     timeFromUnixMillis(target.BornMillis),
			Version:       shelfshelf.TargetVersion(target.Version),
			ColdRemaining: time.Duration(target.ColdFor),
		})
	}
	return delta, nil
}

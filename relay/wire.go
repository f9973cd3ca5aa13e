package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/parts"
)

// What instances hand to each other, each at a path of its name.
const (
	// kindConfiguration is the list of a configuration's parts, kindParts are such parts.
	kindConfiguration = "configuration"
	kindParts         = "parts"
	kindTargets       = "targets"
	kindUses          = "uses"
	kindCrashes       = "crashes"
	kindVersions      = "versions"
	kindInstances     = "instances"
)

type (
	wireManifest struct {
		_ struct{} `cbor:",toarray"`
		// Age is how long ago it was known to be the newest, in nanoseconds.
		Age      int64
		Revision uint64
		Size     int
		// IDs are the names of the parts, one after the other.
		IDs []byte
	}
	wireTargets struct {
		_       struct{} `cbor:",toarray"`
		Age     int64
		Version uint64
		// After is the version of the list that Targets and Removed are the changes since; 0 where
		// Targets are all.
		After   uint64
		Targets []wireTarget
		Removed []string
	}
	wireTarget struct {
		_          struct{} `cbor:",toarray"`
		Name       string
		Pool       string
		DataCentre string
		Address    string
		Leaving    bool
		Slots      int
		// KeptFor is how much longer a target is used that the store has lost; 0 for one
		// that it has.
		KeptFor int64
		// BornMillis is a Unix time in milliseconds; 0 where it is not known.
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
	if wire.Size < 0 || wire.Size > maxFetched {
		return manifest{}, eris.Errorf("decode configuration: a size of %d bytes", wire.Size)
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

func encodeParts(packed [][]byte) ([]byte, error) {
	content, err := cbor.Marshal(packed)
	return content, eris.Wrap(err, "encode parts")
}

func decodeParts(content []byte) ([][]byte, error) {
	var packed [][]byte
	err := cbor.Unmarshal(content, &packed)
	return packed, eris.Wrap(err, "decode parts")
}

func encodeTargets(delta catalog.Delta, now time.Time) ([]byte, error) {
	wire := wireTargets{Age: int64(now.Sub(delta.At)), Version: delta.Version, After: delta.After}
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
			KeptFor:    keptFor(delta.KeptUntil[target.Name], now),
			BornMillis: bornMillis(target.Born),
			Version:    string(target.Version),
			ColdFor:    int64(target.ColdFor),
		})
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode targets")
}

func bornMillis(born time.Time) int64 {
	if born.IsZero() {
		return 0
	}
	return born.UnixMilli()
}

func bornFromMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func keptFor(until, now time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return int64(max(until.Sub(now), 1))
}

// decodeTargets reads a list whose age counts from when it was asked for.
func decodeTargets(content []byte, asked time.Time) (catalog.Delta, error) {
	var wire wireTargets
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return catalog.Delta{}, eris.Wrap(err, "decode targets")
	}
	delta := catalog.Delta{
		Snapshot: catalog.Snapshot{
			Version:   wire.Version,
			At:        asked.Add(-time.Duration(wire.Age)),
			KeptUntil: make(map[shelfshelf.TargetName]time.Time),
		},
		Whole: wire.After == 0,
		After: wire.After,
	}
	for _, name := range wire.Removed {
		delta.Removed = append(delta.Removed, shelfshelf.TargetName(name))
	}
	for _, target := range wire.Targets {
		if target.KeptFor > 0 {
			delta.KeptUntil[shelfshelf.TargetName(target.Name)] = asked.Add(time.Duration(target.KeptFor))
		}
		delta.Targets = append(delta.Targets, shelfshelf.Target{
			Name:       shelfshelf.TargetName(target.Name),
			Pool:       shelfshelf.PoolName(target.Pool),
			DataCentre: shelfshelf.DataCentre(target.DataCentre),
			Address:    target.Address,
			Leaving:    target.Leaving,
			Slots:      target.Slots,
			Born:       bornFromMillis(target.BornMillis),
			Version:    shelfshelf.TargetVersion(target.Version),
			ColdFor:    time.Duration(target.ColdFor),
		})
	}
	return delta, nil
}

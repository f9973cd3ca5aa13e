package relay

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
)

// What instances hand to each other, each at a path of its name.
const (
	kindConfiguration = "configuration"
	kindTargets       = "targets"
)

type (
	wireConfiguration struct {
		_ struct{} `cbor:",toarray"`
		// Age is how long ago it was known to be the newest, in nanoseconds.
		Age     int64
		Encoded []byte
	}
	wireTargets struct {
		_       struct{} `cbor:",toarray"`
		Age     int64
		Version uint64
		Targets []wireTarget
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
	}
)

func encodeTargets(snapshot catalog.Snapshot, now time.Time) ([]byte, error) {
	wire := wireTargets{Age: int64(now.Sub(snapshot.At)), Version: snapshot.Version}
	for _, target := range snapshot.Targets {
		wire.Targets = append(wire.Targets, wireTarget{
			Name:       string(target.Name),
			Pool:       string(target.Pool),
			DataCentre: string(target.DataCentre),
			Address:    target.Address,
			Leaving:    target.Leaving,
			Slots:      target.Slots,
			KeptFor:    keptFor(snapshot.KeptUntil[target.Name], now),
		})
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode targets")
}

func keptFor(until, now time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return int64(max(until.Sub(now), 1))
}

// decodeTargets reads a list whose age counts from when it was asked for.
func decodeTargets(content []byte, asked time.Time) (catalog.Snapshot, error) {
	var wire wireTargets
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return catalog.Snapshot{}, eris.Wrap(err, "decode targets")
	}
	snapshot := catalog.Snapshot{
		Version:   wire.Version,
		At:        asked.Add(-time.Duration(wire.Age)),
		KeptUntil: make(map[shelfshelf.TargetName]time.Time),
	}
	for _, target := range wire.Targets {
		if target.KeptFor > 0 {
			snapshot.KeptUntil[shelfshelf.TargetName(target.Name)] = asked.Add(time.Duration(target.KeptFor))
		}
		snapshot.Targets = append(snapshot.Targets, shelfshelf.Target{
			Name:       shelfshelf.TargetName(target.Name),
			Pool:       shelfshelf.PoolName(target.Pool),
			DataCentre: shelfshelf.DataCentre(target.DataCentre),
			Address:    target.Address,
			Leaving:    target.Leaving,
			Slots:      target.Slots,
		})
	}
	return snapshot, nil
}

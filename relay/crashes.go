package relay

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/crashes"
)

func (r *Relay) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	err := shelfshelf.ErrUnavailable
	var known []shelfshelf.Crash
	if r.Crashes != nil {
		known, err = r.Crashes()
	}
	if err != nil {
		http.Error(w, "the ends of targets are not known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeCrashes(known)
	r.write(w, content, err)
}

// FetchCrashes asks another instance for all that it knows of targets that ended.
func (r *Relay) FetchCrashes(ctx context.Context, address string) ([]shelfshelf.Crash, error) {
	return fetchOnce(ctx, r, address, kindCrashes, decodeCrashes)
}

func encodeCrashes(known []shelfshelf.Crash) ([]byte, error) {
	content, err := cbor.Marshal(crashes.ToWire(known))
	return content, eris.Wrap(err, "encode ends of targets")
}

func decodeCrashes(content []byte) ([]shelfshelf.Crash, error) {
	var wire []crashes.Wire
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "decode ends of targets")
	}
	return crashes.FromWire(wire), nil
}

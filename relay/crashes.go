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
	var records []shelfshelf.Crash
	if r.Crashes != nil {
		records, err = r.Crashes()
	}
	if err != nil {
		http.Error(w, "the ends of targets are not known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeCrashes(records)
	r.writeResponse(w, content, err)
}

// FetchCrashes fetches all target crashes that another instance knows of.
func (r *Relay) FetchCrashes(ctx context.Context, address string) ([]shelfshelf.Crash, error) {
	return fetchOnce(ctx, r, address, kindCrashes, decodeCrashes)
}

func encodeCrashes(records []shelfshelf.Crash) ([]byte, error) {
	content, err := cbor.Marshal(crashes.ToWire(records))
	return content, eris.Wrap(err, "encode crashes")
}

func decodeCrashes(content []byte) ([]shelfshelf.Crash, error) {
	var wire []crashes.Wire
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "decode crashes")
	}
	return crashes.FromWire(wire), nil
}

package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// wireSavedUse is a customer's usage in a data centre, by time bucket of the quota window.
type wireSavedUse struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	Customer   uint32
	Parts      [shelfshelf.UsageBuckets]float64
}

// wireSavedUses is the usage of all customers as it was Age nanoseconds ago.
type wireSavedUses struct {
	_    struct{} `cbor:",toarray"`
	Age  int64
	Uses []wireSavedUse
	Gaps []wireGap
}

// wireGap is a time whose usage may be missing, by its ages in nanoseconds at the time of saving.
type wireGap struct {
	_    struct{} `cbor:",toarray"`
	From int64
	To   int64
}

func (r *Relay) serveUsage(w http.ResponseWriter, _ *http.Request) {
	err := shelfshelf.ErrUnavailable
	var saved shelfshelf.SavedUsages
	if r.Usage != nil {
		saved, err = r.Usage()
	}
	switch {
	case errors.Is(err, shelfshelf.ErrNotFound):
		http.Error(w, "nothing was saved", http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, "the use of customers is not known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeUsage(saved)
	r.writeResponse(w, content, err)
}

// FetchUsage fetches the usage of customers from another instance. The error is ErrNotFound if that
// instance reports that no usage was saved.
func (r *Relay) FetchUsage(ctx context.Context, address string) (shelfshelf.SavedUsages, error) {
	startedAt := r.Clock.Now()
	saved, err := fetchOnce(ctx, r, address, kindUsage, decodeUsage)
	saved.Age += r.Clock.Now().Sub(startedAt)
	return saved, err
}

func encodeUsage(saved shelfshelf.SavedUsages) ([]byte, error) {
	wire := wireSavedUses{Age: int64(saved.Age)}
	for _, use := range saved.Usage {
		wire.Uses = append(wire.Uses, wireSavedUse{DataCentre: string(use.DataCentre), Customer: uint32(use.Customer), Parts: use.Buckets})
	}
	for _, gap := range saved.Gaps {
		wire.Gaps = append(wire.Gaps, wireGap{From: int64(gap.From), To: int64(gap.To)})
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode usage")
}

func decodeUsage(content []byte) (shelfshelf.SavedUsages, error) {
	var wire wireSavedUses
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return shelfshelf.SavedUsages{}, eris.Wrap(err, "decode usage")
	}
	saved := shelfshelf.SavedUsages{Age: time.Duration(wire.Age)}
	for _, use := range wire.Uses {
		saved.Usage = append(saved.Usage, shelfshelf.SavedUsage{
			DataCentre: shelfshelf.DataCentre(use.DataCentre), Customer: shelfshelf.CustomerKey(use.Customer), Buckets: use.Parts,
		})
	}
	for _, gap := range wire.Gaps {
		saved.Gaps = append(saved.Gaps, shelfshelf.UsageGap{From: time.Duration(gap.From), To: time.Duration(gap.To)})
	}
	return saved, nil
}

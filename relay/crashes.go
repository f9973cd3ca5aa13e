package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

type (
	// wireCrash is a target's end so long ago, in nanoseconds.
	wireCrash struct {
		_    struct{} `cbor:",toarray"`
		ID   uint64
		Age  int64
		Runs []wireRun
	}
	wireRun struct {
		_        struct{} `cbor:",toarray"`
		Request  uint64
		Outlived bool
	}
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
	e := &exchange{relay: r, address: address, began: r.Clock.Now()}
	content, err := e.ask(ctx, http.MethodGet, kindCrashes, nil)
	var known []shelfshelf.Crash
	if err == nil {
		known, err = decodeCrashes(content)
	}
	r.report(e, kindCrashes, err)
	return known, err
}

func encodeCrashes(crashes []shelfshelf.Crash) ([]byte, error) {
	wire := make([]wireCrash, 0, len(crashes))
	for _, crash := range crashes {
		w := wireCrash{ID: uint64(crash.ID), Age: int64(crash.Age)}
		for _, run := range crash.Runs {
			w.Runs = append(w.Runs, wireRun{Request: uint64(run.Request), Outlived: run.Outlived})
		}
		wire = append(wire, w)
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode ends of targets")
}

func decodeCrashes(content []byte) ([]shelfshelf.Crash, error) {
	var wire []wireCrash
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "decode ends of targets")
	}
	var crashes []shelfshelf.Crash
	for _, w := range wire {
		crash := shelfshelf.Crash{ID: shelfshelf.CrashID(w.ID), Age: time.Duration(w.Age)}
		for _, run := range w.Runs {
			crash.Runs = append(crash.Runs, shelfshelf.CrashedRun{Request: shelfshelf.Fingerprint(run.Request), Outlived: run.Outlived})
		}
		crashes = append(crashes, crash)
	}
	return crashes, nil
}

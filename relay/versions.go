package relay

import (
	"context"
	"net/http"

	"github.com/shelfshelf/shelfshelf/rollout"
)

func (r *Relay) serveVersions(w http.ResponseWriter, _ *http.Request) {
	if r.VersionReport == nil {
		http.Error(w, "versions are not counted", http.StatusServiceUnavailable)
		return
	}
	content, err := rollout.EncodeReport(r.VersionReport())
	r.writeResponse(w, content, err)
}

// FetchVersions fetches another instance's counts per pool and version. It logs nothing, because it is
// called several times a second while a rollout is in progress.
func (r *Relay) FetchVersions(ctx context.Context, address string) (rollout.Report, error) {
	e := &exchange{relay: r, address: address, startedAt: r.Clock.Now()}
	content, err := e.send(ctx, http.MethodGet, kindVersions, nil)
	if err != nil {
		return rollout.Report{}, err
	}
	return rollout.DecodeReport(content)
}

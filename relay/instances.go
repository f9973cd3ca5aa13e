package relay

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// wireInstances is the instances that an instance knows of.
type wireInstances struct {
	_         struct{} `cbor:",toarray"`
	Instances []wireInstance
	Complete  bool
}

type wireInstance struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	DataCentre string
	Address    string
	State      uint8
	LinkMbps   float64
}

func (r *Relay) serveInstances(w http.ResponseWriter, _ *http.Request) {
	if r.Instances == nil {
		http.Error(w, "instances are not known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeInstances(r.Instances())
	r.writeResponse(w, content, err)
}

// FetchInstances fetches the list of instances that another instance knows of.
func (r *Relay) FetchInstances(ctx context.Context, address string) (shelfshelf.KnownInstances, error) {
	return fetchOnce(ctx, r, address, kindInstances, decodeInstances)
}

func encodeInstances(list shelfshelf.KnownInstances) ([]byte, error) {
	wire := wireInstances{Instances: make([]wireInstance, len(list.Instances)), Complete: list.Complete}
	for i, instance := range list.Instances {
		wire.Instances[i] = wireInstance{
			ID: string(instance.ID), DataCentre: string(instance.DataCentre), Address: instance.Address,
			State: uint8(instance.State), LinkMbps: instance.LinkMbps,
		}
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode instances")
}

func decodeInstances(content []byte) (shelfshelf.KnownInstances, error) {
	var wire wireInstances
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return shelfshelf.KnownInstances{}, eris.Wrap(err, "decode instances")
	}
	list := shelfshelf.KnownInstances{Instances: make([]shelfshelf.Instance, len(wire.Instances)), Complete: wire.Complete}
	for i, w := range wire.Instances {
		list.Instances[i] = shelfshelf.Instance{
			ID: shelfshelf.InstanceID(w.ID), DataCentre: shelfshelf.DataCentre(w.DataCentre), Address: w.Address,
			State: shelfshelf.InstanceState(w.State), LinkMbps: w.LinkMbps,
		}
	}
	return list, nil
}

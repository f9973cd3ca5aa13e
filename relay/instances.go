package relay

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

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
	instances, known := r.Instances()
	if !known {
		http.Error(w, "not all instances are known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeInstances(instances)
	r.writeResponse(w, content, err)
}

// FetchInstances fetches the list of instances that another instance knows of.
func (r *Relay) FetchInstances(ctx context.Context, address string) ([]shelfshelf.Instance, error) {
	return fetchOnce(ctx, r, address, kindInstances, decodeInstances)
}

func encodeInstances(instances []shelfshelf.Instance) ([]byte, error) {
	wire := make([]wireInstance, len(instances))
	for i, instance := range instances {
		wire[i] = wireInstance{
			ID: string(instance.ID), DataCentre: string(instance.DataCentre), Address: instance.Address,
			State: uint8(instance.State), LinkMbps: instance.LinkMbps,
		}
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode instances")
}

func decodeInstances(content []byte) ([]shelfshelf.Instance, error) {
	var wire []wireInstance
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "decode instances")
	}
	instances := make([]shelfshelf.Instance, len(wire))
	for i, w := range wire {
		instances[i] = shelfshelf.Instance{
			ID: shelfshelf.InstanceID(w.ID), DataCentre: shelfshelf.DataCentre(w.DataCentre), Address: w.Address,
			State: shelfshelf.InstanceState(w.State), LinkMbps: w.LinkMbps,
		}
	}
	return instances, nil
}

package settings

import (
	_ "embed" // for the schemas
	"encoding/hex"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/jsondoc"
	"github.com/shelfshelf/shelfshelf/keys"
)

// EntrySchema is the JSON Schema of shelfentry's settings.
//
//go:embed entry.schema.json
var EntrySchema []byte

// CtlSchema is the JSON Schema of shelfctl's settings.
//
//go:embed ctl.schema.json
var CtlSchema []byte

var (
	entrySchema = jsondoc.MustCompile("entry.schema.json", EntrySchema)
	ctlSchema   = jsondoc.MustCompile("ctl.schema.json", CtlSchema)
)

const (
	defaultDrainDelay = 5 * time.Second
	defaultStopLimit  = 10 * time.Minute
)

// Entry is shelfentry's settings.
type Entry struct {
	Instance   shelfshelf.InstanceID
	DataCentre shelfshelf.DataCentre
	// Listen and Admin are IP and port for callers and for operators.
	Listen string
	Admin  string
	// PeerListen is empty for a lone instance.
	PeerListen  string
	PeerAddress string
	PeerFiles   keys.Files
	Peers       []shelfshelf.Instance
	Platform    Platform
	Trust       bundle.Trust
	DrainDelay  time.Duration
	StopLimit   time.Duration
	// MaxBody is in bytes; 0 means the default, as for MaxConnections.
	MaxBody        int64
	MaxConnections int
}

// Platform says where the platform is.
type Platform struct {
	Address string
	// Timeout bounds one call; 0 means the default.
	Timeout time.Duration
}

// Ctl is shelfctl's settings.
type Ctl struct {
	Platform Platform
	Trust    bundle.Trust
	// Admins are base URLs.
	Admins []string
}

type (
	wireEntry struct {
		Instance   string         `json:"instance"`
		DataCentre string         `json:"dataCentre"`
		Listen     string         `json:"listen"`
		Admin      string         `json:"admin"`
		Peer       *wirePeer      `json:"peer"`
		Peers      []wireInstance `json:"peers"`
		Platform   wirePlatform   `json:"platform"`
		Approvers  []wireApprover `json:"approvers"`
		Threshold  int            `json:"threshold"`
		Stop       wireStop       `json:"stop"`
		Limits     wireLimits     `json:"limits"`
	}
	wirePeer struct {
		Listen      string `json:"listen"`
		Address     string `json:"address"`
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	}
	wireInstance struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"dataCentre"`
		Address    string `json:"address"`
	}
	wirePlatform struct {
		Address string `json:"address"`
		Timeout string `json:"timeout"`
	}
	wireApprover struct {
		Name      string `json:"name"`
		PublicKey string `json:"publicKey"`
	}
	wireStop struct {
		DrainDelay string `json:"drainDelay"`
		Limit      string `json:"limit"`
	}
	wireLimits struct {
		BodyBytes   int64 `json:"bodyBytes"`
		Connections int   `json:"connections"`
	}
	wireCtl struct {
		Platform  wirePlatform   `json:"platform"`
		Approvers []wireApprover `json:"approvers"`
		Threshold int            `json:"threshold"`
		Admins    []string       `json:"admins"`
	}
)

// ReadEntry reads shelfentry's settings from a file.
func ReadEntry(file string) (*Entry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseEntry(file, content)
}

// ParseEntry reads shelfentry's settings; the error is a *jsondoc.MistakesError.
func ParseEntry(name string, content []byte) (*Entry, error) {
	var wire wireEntry
	if err := entrySchema.Decode(name, content, &wire); err != nil {
		return nil, err
	}
	if wire.Threshold > len(wire.Approvers) {
		return nil, thresholdMistake(name, content)
	}
	entry := &Entry{
		Instance:       shelfshelf.InstanceID(wire.Instance),
		DataCentre:     shelfshelf.DataCentre(wire.DataCentre),
		Listen:         wire.Listen,
		Admin:          wire.Admin,
		Platform:       wire.Platform.domain(),
		Trust:          trust(wire.Approvers, wire.Threshold),
		DrainDelay:     duration(wire.Stop.DrainDelay, defaultDrainDelay),
		StopLimit:      duration(wire.Stop.Limit, defaultStopLimit),
		MaxBody:        wire.Limits.BodyBytes,
		MaxConnections: wire.Limits.Connections,
	}
	if wire.Peer != nil {
		entry.PeerListen = wire.Peer.Listen
		entry.PeerAddress = wire.Peer.Address
		if entry.PeerAddress == "" {
			entry.PeerAddress = wire.Peer.Listen
		}
		entry.PeerFiles = keys.Files{Certificate: wire.Peer.Certificate, Key: wire.Peer.Key, Authority: wire.Peer.Authority}
	}
	for _, peer := range wire.Peers {
		entry.Peers = append(entry.Peers, shelfshelf.Instance{
			ID:         shelfshelf.InstanceID(peer.Instance),
			DataCentre: shelfshelf.DataCentre(peer.DataCentre),
			Address:    peer.Address,
			State:      shelfshelf.InstanceLive,
		})
	}
	return entry, nil
}

// ReadCtl reads shelfctl's settings from a file.
func ReadCtl(file string) (*Ctl, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseCtl(file, content)
}

// ParseCtl reads shelfctl's settings; the error is a *jsondoc.MistakesError.
func ParseCtl(name string, content []byte) (*Ctl, error) {
	var wire wireCtl
	if err := ctlSchema.Decode(name, content, &wire); err != nil {
		return nil, err
	}
	if wire.Threshold > len(wire.Approvers) {
		return nil, thresholdMistake(name, content)
	}
	return &Ctl{
		Platform: wire.Platform.domain(),
		Trust:    trust(wire.Approvers, wire.Threshold),
		Admins:   wire.Admins,
	}, nil
}

func thresholdMistake(name string, content []byte) error {
	return &jsondoc.MistakesError{Document: name, Mistakes: []jsondoc.Mistake{{
		Field: "threshold",
		Line:  jsondoc.LineOf(content, []string{"threshold"}),
		Text:  "more than there are approvers",
	}}}
}

func (w wirePlatform) domain() Platform {
	return Platform{Address: w.Address, Timeout: duration(w.Timeout, 0)}
}

func trust(wire []wireApprover, threshold int) bundle.Trust {
	found := bundle.Trust{Threshold: threshold}
	for _, approver := range wire {
		key, err := hex.DecodeString(approver.PublicKey)
		if err != nil {
			continue // the schema has checked it
		}
		found.Approvers = append(found.Approvers, shelfshelf.Approver{Name: approver.Name, PublicKey: key})
	}
	return found
}

// duration maps a text that the schema has checked.
func duration(text string, fallback time.Duration) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fallback
	}
	return parsed
}

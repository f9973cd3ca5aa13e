package settings

import (
	_ "embed" // for the schema
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/jsondoc"
	"github.com/shelfshelf/shelfshelf/retrybudget"
)

// NodeSchema is the JSON Schema of shelfnode's settings.
//
//go:embed node.schema.json
var NodeSchema []byte

var nodeSchema = jsondoc.MustCompile("node.schema.json", NodeSchema)

const (
	defaultNodeStop    = 8 * time.Second
	defaultDescriptors = 4096
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
	// A tenth of the requests shows a fault within seconds, and fifty more let small pools
	// show anything at all.
	defaultRolloutShare = 0.1
	defaultRolloutSlack = 50
	// A target is not sent more than it says that it bears.
	defaultColdExcess = 1
)

// Node is shelfnode's settings.
type Node struct {
	Instance   shelfshelf.InstanceID
	DataCentre shelfshelf.DataCentre
	// Regions are those of the data centres, as far as they are known.
	Regions map[shelfshelf.DataCentre]shelfshelf.Region
	// Callers, Ready, Peer and Store are IP and port.
	Callers string
	Ready   string
	Peer    string
	Store   string
	// Metrics is IP and port; empty means that metrics are served at Peer only.
	Metrics string
	// MemoryMB is the process's memory in megabytes; 0 means unbounded.
	MemoryMB    int
	Descriptors int
	// LinkMbps is what the machine's link carries; 0 means that it is not known.
	LinkMbps float64
	// EnginesPerQueue is how many engines of a data centre share one queue; with 1, each has its own.
	EnginesPerQueue int
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// KeyLease is how soon after a key is revoked no request with it may run.
	KeyLease  time.Duration
	StopLimit time.Duration
	// TargetDrain is for how long targets serve after they have listed themselves as leaving; 0 if unknown.
	TargetDrain time.Duration
	// Retry bounds what is sent again, over all instances together.
	Retry retrybudget.Limits
	// Quota is how customers' limits are counted.
	Quota Quota
	// Cold bounds what a target gets that may be cold, over all instances together.
	Cold Cold
	// Rollout bounds what a new version of a pool's targets gets before it has proved itself.
	Rollout Rollout
}

// Rollout bounds what a new version of a pool's targets gets before it has proved itself.
type Rollout struct {
	// Share is the part of the pool's requests from an order to its deadline, Slack the
	// requests beyond it.
	Share float64
	Slack float64
}

// Cold bounds what a target gets that may be cold.
type Cold struct {
	// Excess times what a cold target bears, and Slack more, is the most that it may get in a second.
	Excess float64
	Slack  float64
}

// Quota is how customers' limits are counted.
type Quota struct {
	// Window is the span that limits count in; 0 means the default.
	Window time.Duration
	// Slack is what may be used beyond limits over all instances, in tokens.
	Slack float64
}

type wireRollout struct {
	Share float64 `json:"share"`
	Slack float64 `json:"slack"`
}

type wireCold struct {
	Excess float64 `json:"excess"`
	Slack  float64 `json:"slack"`
}

type wireQuota struct {
	Window string  `json:"window"`
	Slack  float64 `json:"slack"`
}

type wireNode struct {
	Instance    string  `json:"instance"`
	DataCentre  string  `json:"dataCentre"`
	Regions     regions `json:"regions"`
	Callers     string  `json:"callers"`
	Ready       string  `json:"ready"`
	Peer        string  `json:"peer"`
	Store       string  `json:"store"`
	Metrics     string  `json:"metrics"`
	MemoryMB    int     `json:"memoryMb"`
	Descriptors int     `json:"descriptors"`
	LinkMbps    float64 `json:"linkMbps"`
	FirstStart  bool    `json:"firstStart"`

	EnginesPerQueue int `json:"enginesPerQueue"`

	KeyLease    string     `json:"keyLease"`
	StopLimit   string     `json:"stopLimit"`
	TargetDrain string     `json:"targetDrain"`
	Retry       *wireRetry `json:"retry"`
	Quota       *wireQuota `json:"quota"`

	Rollout *wireRollout `json:"rollout"`
	Cold    *wireCold    `json:"cold"`
}

// regions are the regions of data centres.
type regions map[string]string

func (r regions) domain() map[shelfshelf.DataCentre]shelfshelf.Region {
	read := make(map[shelfshelf.DataCentre]shelfshelf.Region, len(r))
	for centre, region := range r {
		read[shelfshelf.DataCentre(centre)] = shelfshelf.Region(region)
	}
	return read
}

type wireRetry struct {
	Ratio  float64 `json:"ratio"`
	Slack  float64 `json:"slack"`
	Window string  `json:"window"`
}

// ReadNode reads shelfnode's settings from a file.
func ReadNode(file string) (*Node, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseNode(file, content)
}

// ParseNode reads shelfnode's settings; the error is a *jsondoc.MistakesError.
func ParseNode(name string, content []byte) (*Node, error) {
	var wire wireNode
	if err := nodeSchema.Decode(name, content, &wire); err != nil {
		return nil, err
	}
	node := &Node{
		Instance:    shelfshelf.InstanceID(wire.Instance),
		DataCentre:  shelfshelf.DataCentre(wire.DataCentre),
		Regions:     wire.Regions.domain(),
		Callers:     wire.Callers,
		Ready:       wire.Ready,
		Peer:        wire.Peer,
		Store:       wire.Store,
		Metrics:     wire.Metrics,
		MemoryMB:    wire.MemoryMB,
		Descriptors: wire.Descriptors,
		LinkMbps:    wire.LinkMbps,
		FirstStart:  wire.FirstStart,

		EnginesPerQueue: max(wire.EnginesPerQueue, 1),

		KeyLease:    duration(wire.KeyLease, 0),
		StopLimit:   duration(wire.StopLimit, defaultNodeStop),
		TargetDrain: duration(wire.TargetDrain, 0),
		Retry:       retrybudget.Limits{Ratio: defaultRetryRatio, Slack: defaultRetrySlack, Window: defaultRetryWindow},
	}
	if node.Descriptors == 0 {
		node.Descriptors = defaultDescriptors
	}
	if wire.Retry != nil {
		node.Retry = retrybudget.Limits{
			Ratio:  wire.Retry.Ratio,
			Slack:  wire.Retry.Slack,
			Window: duration(wire.Retry.Window, defaultRetryWindow),
		}
	}
	if wire.Quota != nil {
		node.Quota = Quota{Window: duration(wire.Quota.Window, 0), Slack: wire.Quota.Slack}
	}
	node.Rollout = Rollout{Share: defaultRolloutShare, Slack: defaultRolloutSlack}
	if wire.Rollout != nil {
		node.Rollout = Rollout{Share: wire.Rollout.Share, Slack: wire.Rollout.Slack}
	}
	node.Cold = Cold{Excess: defaultColdExcess}
	if wire.Cold != nil {
		node.Cold = Cold{Excess: wire.Cold.Excess, Slack: wire.Cold.Slack}
	}
	return node, nil
}

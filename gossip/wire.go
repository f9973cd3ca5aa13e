package gossip

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
	"github.com/shelfshelf/shelfshelf/crashes"
	"github.com/shelfshelf/shelfshelf/rollout"
)

// wireVersion must change whenever the message format changes.
const wireVersion = 12

// Upper bounds on the CBOR size of single entries, in bytes.
const (
	maxLoadSize   = 17
	maxUseSize    = 15
	maxSpeedSize  = 16
	maxMemberSize = 37
	// maxEnvelopeSize bounds all other fields of a message or a digest.
	maxEnvelopeSize = 400
	// maxNameOverhead bounds what a name takes beside its characters.
	maxNameOverhead = 5
)

// portBytes is the size of the port that follows the IP address of a member.
const portBytes = 2

// kind is the purpose of a message.
type kind uint8

const (
	// kindStatus is a status for the sender's own data centre.
	kindStatus kind = iota + 1
	// kindExchangeRequest carries a digest to another data centre; its receiver answers with
	// kindExchangeReply.
	kindExchangeRequest
	kindExchangeReply
)

// message is one datagram: a status, with timestamps of both ends.
type message struct {
	kind   kind
	status shelfshelf.Status
	// timestamp is the sender's clock. echo is the latest timestamp that the sender has received from
	// the receiver, and echoIncarnation the receiver's incarnation that it is from. Both clocks count
	// from the start of their process.
	timestamp       time.Duration
	echo            time.Duration
	echoIncarnation uint64
}

type (
	wireMessage struct {
		_               struct{} `cbor:",toarray"`
		Version         uint8
		Kind            uint8
		ID              string
		DataCentre      string
		Address         string
		State           uint8
		Incarnation     uint64
		Sequence        uint64
		Timestamp       int64
		Echo            int64
		EchoIncarnation uint64
		Revision        uint64
		RevisionAge     int64
		TargetsVersion  uint64
		TargetsAge      int64
		LinkMbps        float64
		SourceLost      bool
		Settled         bool
		Recalled        bool
		UnsavedFor      int64
		Loads           []wireLoad
		Uses            []wireUsage
		EndedUses       []wireUsage
		Speeds          []wireSpeed
		CrashesHash     uint64
		Crashes         []crashes.Wire
		Digests         []wireDigest
		Rollouts        []rollout.Wire
		OrdersAsOf      uint64
		Words           []announced.Wire
		Evacuated       []string
		EvacuatedAsOf   uint64
	}
	wireDigest struct {
		_          struct{} `cbor:",toarray"`
		DataCentre string
		Age        int64
		Instances  int
		Settled    bool
		Members    []wireMember
		Loads      []wireLoad
		Uses       []wireUsage
		Speeds     []wireSpeed
	}
	wireMember struct {
		_       struct{} `cbor:",toarray"`
		Hash    uint64
		Address []byte
		Link    uint32
	}
	wireSpeed struct {
		_      struct{} `cbor:",toarray"`
		Target uint32
		// TenthRate is in tenths of a token per millisecond, StepMicros in microseconds per token.
		TenthRate  uint32
		StepMicros uint32
	}
	wireLoad struct {
		_             struct{} `cbor:",toarray"`
		Target        uint32
		Requests      int
		Prefilling    int
		PrefillTokens int
	}
	wireUsage struct {
		_        struct{} `cbor:",toarray"`
		Customer uint32
		Amount   int64
	}
)

// maxStatusSize returns an upper bound on the encoded size of a status without its digests, in bytes.
func maxStatusSize(s shelfshelf.Status) int {
	return maxEnvelopeSize + maxLoadSize*len(s.Loads) + maxUseSize*(len(s.Usage)+len(s.EndedUsage)) + maxSpeedSize*len(s.Speeds) +
		maxNamesSize(s.Evacuation.DataCentres) + announced.WireSize*len(s.Announcements) + crashes.WireSize(s.Crashes) + rollout.WireSize(s.Rollouts)
}

// maxNamesSize returns an upper bound on the encoded size of names of data centres, in bytes.
func maxNamesSize(centres []shelfshelf.DataCentre) int {
	size := 0
	for _, centre := range centres {
		size += maxNameOverhead + len(centre)
	}
	return size
}

// maxDigestSize returns an upper bound on the encoded size of a digest, in bytes.
func maxDigestSize(d shelfshelf.Digest) int {
	return maxEnvelopeSize + maxMemberSize*len(d.Members) + maxLoadSize*len(d.Loads) + maxUseSize*len(d.Usage) + maxSpeedSize*len(d.Speeds)
}

func encode(m message) ([]byte, error) {
	s := m.status
	wire := wireMessage{
		Version:         wireVersion,
		Kind:            uint8(m.kind),
		ID:              string(s.From.ID),
		DataCentre:      string(s.From.DataCentre),
		Address:         s.From.Address,
		State:           uint8(s.From.State),
		Incarnation:     s.Incarnation,
		Sequence:        s.Sequence,
		Timestamp:       int64(m.timestamp),
		Echo:            int64(m.echo),
		EchoIncarnation: m.echoIncarnation,
		Revision:        uint64(s.Revision),
		RevisionAge:     int64(s.RevisionAge),
		TargetsVersion:  s.TargetsVersion,
		TargetsAge:      int64(s.TargetsAge),
		LinkMbps:        s.From.LinkMbps,
		SourceLost:      s.StoreUnreachable,
		Settled:         s.WindowObserved,
		Recalled:        s.UsageRestored,
		UnsavedFor:      int64(s.UnsavedFor),
		Loads:           loadsToWire(s.Loads),
		Uses:            usageToWire(s.Usage),
		EndedUses:       usageToWire(s.EndedUsage),
		Speeds:          speedsToWire(s.Speeds),
		CrashesHash:     s.CrashesHash,
		Crashes:         crashes.ToWire(s.Crashes),
		Rollouts:        rollout.ToWire(s.Rollouts),
		OrdersAsOf:      s.RolloutsAsOf,
		Words:           announced.ToWire(s.Announcements),
		Evacuated:       namesToWire(s.Evacuation.DataCentres),
		EvacuatedAsOf:   s.Evacuation.AsOf,
	}
	for _, digest := range s.Digests {
		wire.Digests = append(wire.Digests, wireDigest{
			DataCentre: string(digest.DataCentre),
			Age:        int64(digest.Age),
			Instances:  digest.Instances,
			Settled:    digest.WindowObserved,
			Members:    membersToWire(digest.Members),
			Loads:      loadsToWire(digest.Loads),
			Uses:       usageToWire(digest.Usage),
			Speeds:     speedsToWire(digest.Speeds),
		})
	}
	content, err := cbor.Marshal(wire)
	return content, eris.Wrap(err, "encode message")
}

func decode(content []byte) (message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return message{}, eris.Wrap(err, "decode message")
	}
	if wire.Version != wireVersion || wire.ID == "" {
		return message{}, eris.Errorf("decode message: unsupported version %d or empty sender ID %q", wire.Version, wire.ID)
	}
	m := message{
		kind: kind(wire.Kind),
		status: shelfshelf.Status{
			From: shelfshelf.Instance{
				ID:         shelfshelf.InstanceID(wire.ID),
				DataCentre: shelfshelf.DataCentre(wire.DataCentre),
				Address:    wire.Address,
				State:      shelfshelf.InstanceState(wire.State),
				LinkMbps:   wire.LinkMbps,
			},
			Incarnation:      wire.Incarnation,
			Sequence:         wire.Sequence,
			Revision:         shelfshelf.Revision(wire.Revision),
			RevisionAge:      time.Duration(wire.RevisionAge),
			TargetsVersion:   wire.TargetsVersion,
			TargetsAge:       time.Duration(wire.TargetsAge),
			StoreUnreachable: wire.SourceLost,
			WindowObserved:   wire.Settled,
			UsageRestored:    wire.Recalled,
			UnsavedFor:       time.Duration(wire.UnsavedFor),
			Loads:            loadsFromWire(wire.Loads),
			Usage:            usageFromWire(wire.Uses),
			EndedUsage:       usageFromWire(wire.EndedUses),
			Speeds:           speedsFromWire(wire.Speeds),
			CrashesHash:      wire.CrashesHash,
			Crashes:          crashes.FromWire(wire.Crashes),
			Rollouts:         rollout.FromWire(wire.Rollouts),
			RolloutsAsOf:     wire.OrdersAsOf,
			Announcements:    announced.FromWire(wire.Words),
			Evacuation:       shelfshelf.EvacuationState{DataCentres: namesFromWire(wire.Evacuated), AsOf: wire.EvacuatedAsOf},
		},
		timestamp:       time.Duration(wire.Timestamp),
		echo:            time.Duration(wire.Echo),
		echoIncarnation: wire.EchoIncarnation,
	}
	for _, digest := range wire.Digests {
		m.status.Digests = append(m.status.Digests, shelfshelf.Digest{
			DataCentre:     shelfshelf.DataCentre(digest.DataCentre),
			Age:            time.Duration(digest.Age),
			Instances:      digest.Instances,
			WindowObserved: digest.Settled,
			Members:        membersFromWire(digest.Members),
			Loads:          loadsFromWire(digest.Loads),
			Usage:          usageFromWire(digest.Uses),
			Speeds:         speedsFromWire(digest.Speeds),
		})
	}
	return m, nil
}

func namesToWire(centres []shelfshelf.DataCentre) []string {
	var names []string
	for _, centre := range centres {
		names = append(names, string(centre))
	}
	return names
}

func namesFromWire(names []string) []shelfshelf.DataCentre {
	var centres []shelfshelf.DataCentre
	for _, name := range names {
		centres = append(centres, shelfshelf.DataCentre(name))
	}
	return centres
}

func membersToWire(members []shelfshelf.Member) []wireMember {
	wire := make([]wireMember, len(members))
	for i, member := range members {
		port := member.Address.Port()
		wire[i] = wireMember{Hash: member.Hash, Address: append(member.Address.Addr().AsSlice(), byte(port>>8), byte(port)), Link: member.LinkMbps}
	}
	return wire
}

// membersFromWire leaves out members whose addresses are invalid; they cannot own targets.
func membersFromWire(wire []wireMember) []shelfshelf.Member {
	members := make([]shelfshelf.Member, 0, len(wire))
	for _, member := range wire {
		size := len(member.Address)
		if size < portBytes {
			continue
		}
		ip, ok := netip.AddrFromSlice(member.Address[:size-portBytes])
		if !ok {
			continue
		}
		port := uint16(member.Address[size-2])<<8 | uint16(member.Address[size-1])
		members = append(members, shelfshelf.Member{Hash: member.Hash, Address: netip.AddrPortFrom(ip, port), LinkMbps: member.Link})
	}
	return members
}

func loadsToWire(loads []shelfshelf.TargetLoad) []wireLoad {
	wire := make([]wireLoad, len(loads))
	for i, load := range loads {
		wire[i] = wireLoad{
			Target: uint32(load.Target), Requests: load.Requests,
			Prefilling: load.Prefilling, PrefillTokens: load.PrefillTokens,
		}
	}
	return wire
}

func loadsFromWire(wire []wireLoad) []shelfshelf.TargetLoad {
	loads := make([]shelfshelf.TargetLoad, len(wire))
	for i, load := range wire {
		loads[i] = shelfshelf.TargetLoad{
			Target: shelfshelf.TargetKey(load.Target), Requests: load.Requests,
			Prefilling: load.Prefilling, PrefillTokens: load.PrefillTokens,
		}
	}
	return loads
}

func usageToWire(usage []shelfshelf.CustomerUsage) []wireUsage {
	wire := make([]wireUsage, len(usage))
	for i, use := range usage {
		wire[i] = wireUsage{Customer: uint32(use.Customer), Amount: int64(use.Amount)}
	}
	return wire
}

func usageFromWire(wire []wireUsage) []shelfshelf.CustomerUsage {
	usage := make([]shelfshelf.CustomerUsage, len(wire))
	for i, use := range wire {
		usage[i] = shelfshelf.CustomerUsage{Customer: shelfshelf.CustomerKey(use.Customer), Amount: float64(use.Amount)}
	}
	return usage
}

func speedsToWire(speeds []shelfshelf.TargetSpeed) []wireSpeed {
	wire := make([]wireSpeed, len(speeds))
	for i, speed := range speeds {
		wire[i] = wireSpeed{
			Target:     uint32(speed.Target),
			TenthRate:  uint32(speed.PrefillRate * 10),
			StepMicros: uint32(speed.Step.Microseconds()),
		}
	}
	return wire
}

func speedsFromWire(wire []wireSpeed) []shelfshelf.TargetSpeed {
	speeds := make([]shelfshelf.TargetSpeed, len(wire))
	for i, speed := range wire {
		speeds[i] = shelfshelf.TargetSpeed{
			Target:      shelfshelf.TargetKey(speed.Target),
			PrefillRate: float64(speed.TenthRate) / 10,
			Step:        time.Duration(speed.StepMicros) * time.Microsecond,
		}
	}
	return speeds
}

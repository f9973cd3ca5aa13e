package slots

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

// Marker is the first byte of every datagram of this package. It tells them apart from datagrams of
// other packages on the same socket, which begin with a CBOR array, and from those of builds with another format,
// which used 0x01. Builds that don't know it drop the datagram.
const Marker byte = 0x03

// kind is the type of a message.
type kind uint8

const (
	// kindRequest is a slot request.
	kindRequest kind = iota + 1
	// kindAnswer answers a slot request: once immediately, and once more when a queued request is
	// granted.
	kindAnswer
	// kindRelease releases a slot.
	kindRelease
	// kindSync lists all slots that the sender holds at targets owned by the receiver.
	kindSync
	// kindWithdraw withdraws a queued request; its outcome says whether a slot was granted at
	// another target.
	kindWithdraw
	// kindUnreachable releases a slot of a target that could not be reached.
	kindUnreachable
)

// message is one datagram.
type message struct {
	kind kind
	// incarnation is that of the holder.
	incarnation uint64
	id          shelfshelf.SlotID
	request     shelfshelf.SlotRequest
	outcome     shelfshelf.SlotOutcome
	requests    int
	backoff     time.Duration
	// wait is the expected time in the queue, if waitKnown.
	wait      time.Duration
	waitKnown bool
	held      map[shelfshelf.SlotID]shelfshelf.TargetKey
}

type (
	wireMessage struct {
		_             struct{} `cbor:",toarray"`
		Kind          uint8
		Incarnation   uint64
		ID            uint64
		Target        uint32
		Begun         bool
		Rank          int
		Tier          int
		WaitMillis    int64
		StayMillis    int64
		Outcome       uint8
		Requests      int
		BackoffMillis int64
		Held          []wireSlot
		// More are the targets that a slot request names after Target.
		More         []uint32
		InTimeMillis int64
		Customer     uint32
		Weight       float32
		Fingerprint  uint64
		// QueueMillis is the expected time in the queue plus one; 0 means that it is unknown.
		QueueMillis int64
		// Announcement holds what the sender of a slot request knows of the announcements of its
		// target. Nearly all messages have none, which takes one byte of about 40.
		Announcement []announced.Wire
	}
	wireSlot struct {
		_      struct{} `cbor:",toarray"`
		ID     uint64
		Target uint32
	}
)

func encode(m message) ([]byte, error) {
	wire := wireMessage{
		Kind:          uint8(m.kind),
		Incarnation:   m.incarnation,
		ID:            uint64(m.id),
		Target:        uint32(m.request.Target),
		Begun:         m.request.Started,
		Rank:          m.request.Rank,
		Tier:          int(m.request.Tier),
		WaitMillis:    m.request.MaxWait.Milliseconds(),
		StayMillis:    m.request.HoldTime.Milliseconds(),
		Outcome:       uint8(m.outcome),
		Requests:      m.requests,
		BackoffMillis: ceilMillis(m.backoff),
		InTimeMillis:  m.request.InTimeUntil.Milliseconds(),
		Customer:      m.request.Customer,
		Weight:        float32(m.request.Weight),
		Fingerprint:   uint64(m.request.Fingerprint),
	}
	if m.request.Announcement.Version > 0 {
		wire.Announcement = announced.ToWire([]shelfshelf.TargetAnnouncement{m.request.Announcement})
	}
	if m.waitKnown {
		wire.QueueMillis = ceilMillis(m.wait) + 1
	}
	for _, target := range m.request.Targets[min(1, len(m.request.Targets)):] {
		wire.More = append(wire.More, uint32(target))
	}
	for id, target := range m.held {
		wire.Held = append(wire.Held, wireSlot{ID: uint64(id), Target: uint32(target)})
	}
	content, err := cbor.Marshal(wire)
	if err != nil {
		return nil, eris.Wrap(err, "encode slot message")
	}
	return append([]byte{Marker}, content...), nil
}

func decode(content []byte) (message, error) {
	if len(content) == 0 || content[0] != Marker {
		return message{}, eris.New("decode slot message: missing marker byte")
	}
	var wire wireMessage
	if err := cbor.Unmarshal(content[1:], &wire); err != nil {
		return message{}, eris.Wrap(err, "decode slot message")
	}
	m := message{
		kind:        kind(wire.Kind),
		incarnation: wire.Incarnation,
		id:          shelfshelf.SlotID(wire.ID),
		request: shelfshelf.SlotRequest{
			Target:   shelfshelf.TargetKey(wire.Target),
			Started:  wire.Begun,
			Rank:     wire.Rank,
			Tier:     shelfshelf.Tier(wire.Tier),
			MaxWait:  time.Duration(wire.WaitMillis) * time.Millisecond,
			HoldTime: time.Duration(wire.StayMillis) * time.Millisecond,

			InTimeUntil: time.Duration(wire.InTimeMillis) * time.Millisecond,
			Customer:    wire.Customer,
			Weight:      float64(wire.Weight),
			Fingerprint: shelfshelf.Fingerprint(wire.Fingerprint),
			Targets:     targetsFromWire(wire),
		},
		outcome:  shelfshelf.SlotOutcome(wire.Outcome),
		requests: wire.Requests,
		backoff:  time.Duration(wire.BackoffMillis) * time.Millisecond,

		wait:      time.Duration(max(wire.QueueMillis-1, 0)) * time.Millisecond,
		waitKnown: wire.QueueMillis > 0,
	}
	for _, announcement := range announced.FromWire(wire.Announcement) {
		if announcement.Target == m.request.Target {
			m.request.Announcement = announcement
			break
		}
	}
	if len(wire.Held) > 0 {
		m.held = make(map[shelfshelf.SlotID]shelfshelf.TargetKey, len(wire.Held))
	}
	for _, slot := range wire.Held {
		m.held[shelfshelf.SlotID(slot.ID)] = shelfshelf.TargetKey(slot.Target)
	}
	return m, nil
}

// targetsFromWire returns the targets that a slot request names; nil if it names only one.
func targetsFromWire(wire wireMessage) []shelfshelf.TargetKey {
	if len(wire.More) == 0 {
		return nil
	}
	targets := []shelfshelf.TargetKey{shelfshelf.TargetKey(wire.Target)}
	for _, target := range wire.More[:min(len(wire.More), shelfshelf.MaxSlotTargets-1)] {
		targets = append(targets, shelfshelf.TargetKey(target))
	}
	return targets
}

// ceilMillis rounds up: a request retried before the end of a backoff would be refused again.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

package places

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/announced"
)

// Marker is the first byte of every datagram of this package; it tells them from
// those of other packages on the same socket, which begin with a CBOR array.
const Marker byte = 0x01

// kind tells what a message is for.
type kind uint8

const (
	// kindAsk asks for a place.
	kindAsk kind = iota + 1
	// kindAnswer answers an ask, once at once and once more when a waiting one is
	// granted.
	kindAnswer
	// kindGive gives a place back.
	kindGive
	// kindSync lists all places that the sender holds of the receiver's engines.
	kindSync
	// kindLeave takes an ask out of its line; its outcome says whether the request was
	// granted a place elsewhere.
	kindLeave
	// kindUnreachable gives a place back at an engine that could not be reached.
	kindUnreachable
)

// message is one datagram.
type message struct {
	kind kind
	// incarnation is the holder's life.
	incarnation uint64
	id          shelfshelf.PlaceID
	ask         shelfshelf.PlaceAsk
	outcome     shelfshelf.PlaceOutcome
	requests    int
	rest        time.Duration
	held        map[shelfshelf.PlaceID]shelfshelf.TargetKey
}

type (
	wireMessage struct {
		_           struct{} `cbor:",toarray"`
		Kind        uint8
		Incarnation uint64
		ID          uint64
		Target      uint32
		Begun       bool
		Rank        int
		Tier        int
		WaitMillis  int64
		StayMillis  int64
		Outcome     uint8
		Requests    int
		RestMillis  int64
		Held        []wirePlace
		// Said holds what the sender of an ask knows that its target has said. Nearly all messages
		// have none, which takes one byte of some 40.
		Said []announced.Wire
	}
	wirePlace struct {
		_      struct{} `cbor:",toarray"`
		ID     uint64
		Target uint32
	}
)

func encode(m message) ([]byte, error) {
	wire := wireMessage{
		Kind:        uint8(m.kind),
		Incarnation: m.incarnation,
		ID:          uint64(m.id),
		Target:      uint32(m.ask.Target),
		Begun:       m.ask.Begun,
		Rank:        m.ask.Rank,
		Tier:        int(m.ask.Tier),
		WaitMillis:  m.ask.Wait.Milliseconds(),
		StayMillis:  m.ask.Stay.Milliseconds(),
		Outcome:     uint8(m.outcome),
		Requests:    m.requests,
		RestMillis:  ceilMillis(m.rest),
	}
	if m.ask.Said.Version > 0 {
		wire.Said = announced.ToWire([]shelfshelf.TargetWord{m.ask.Said})
	}
	for id, target := range m.held {
		wire.Held = append(wire.Held, wirePlace{ID: uint64(id), Target: uint32(target)})
	}
	content, err := cbor.Marshal(wire)
	if err != nil {
		return nil, eris.Wrap(err, "encode a message on places")
	}
	return append([]byte{Marker}, content...), nil
}

func decode(content []byte) (message, error) {
	if len(content) == 0 || content[0] != Marker {
		return message{}, eris.New("decode a message on places: it has another form")
	}
	var wire wireMessage
	if err := cbor.Unmarshal(content[1:], &wire); err != nil {
		return message{}, eris.Wrap(err, "decode a message on places")
	}
	m := message{
		kind:        kind(wire.Kind),
		incarnation: wire.Incarnation,
		id:          shelfshelf.PlaceID(wire.ID),
		ask: shelfshelf.PlaceAsk{
			Target: shelfshelf.TargetKey(wire.Target),
			Begun:  wire.Begun,
			Rank:   wire.Rank,
			Tier:   shelfshelf.Tier(wire.Tier),
			Wait:   time.Duration(wire.WaitMillis) * time.Millisecond,
			Stay:   time.Duration(wire.StayMillis) * time.Millisecond,
		},
		outcome:  shelfshelf.PlaceOutcome(wire.Outcome),
		requests: wire.Requests,
		rest:     time.Duration(wire.RestMillis) * time.Millisecond,
	}
	for _, told := range announced.FromWire(wire.Said) {
		if told.Target == m.ask.Target {
			m.ask.Said = told
		}
	}
	if len(wire.Held) > 0 {
		m.held = make(map[shelfshelf.PlaceID]shelfshelf.TargetKey, len(wire.Held))
	}
	for _, place := range wire.Held {
		m.held[shelfshelf.PlaceID(place.ID)] = shelfshelf.TargetKey(place.Target)
	}
	return m, nil
}

// ceilMillis rounds up: who asks again before a rest is over asks in vain.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

package peer

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// messageKind is the first byte of a frame.
type messageKind uint8

const (
	kindAsk messageKind = iota + 1
	kindHold
	kindDecision
	kindFirstToken
	kindDone
	kindHeartbeat
	kindGetObject
	kindObject
	kindMissing
	// kindWait tells an entry that its ask is in line.
	kindWait
)

// maxFrameBytes bounds a frame; the largest is a signed bundle.
const maxFrameBytes = 16 << 20

// frameHeaderBytes is the kind and the length of the payload.
const frameHeaderBytes = 5

// ErrFrame means that a peer sent something that is not a frame of the protocol.
var ErrFrame = eris.New("bad frame")

type (
	wireMark struct {
		Tokens int    `cbor:"1,keyasint"`
		Hash   uint64 `cbor:"2,keyasint"`
	}
	wireAsk struct {
		ID           string     `cbor:"1,keyasint"`
		Customer     string     `cbor:"2,keyasint"`
		Route        string     `cbor:"3,keyasint"`
		Pool         string     `cbor:"4,keyasint"`
		Tier         int        `cbor:"5,keyasint"`
		Weight       float64    `cbor:"6,keyasint"`
		PromptTokens int        `cbor:"7,keyasint"`
		OutputTokens int        `cbor:"8,keyasint"`
		Prefix       []wireMark `cbor:"9,keyasint,omitempty"`
		// Times go as spans from now, since instances' clocks differ.
		WaitedMicros     int64    `cbor:"10,keyasint"`
		FirstTokenMicros int64    `cbor:"11,keyasint,omitempty"`
		DeadlineMicros   int64    `cbor:"12,keyasint"`
		Avoid            []string `cbor:"13,keyasint,omitempty"`
		// Target is set when the request is held already.
		Target string `cbor:"14,keyasint,omitempty"`
	}
	wireDecision struct {
		ID           string `cbor:"1,keyasint"`
		Granted      bool   `cbor:"2,keyasint"`
		Target       string `cbor:"3,keyasint,omitempty"`
		Priority     int    `cbor:"4,keyasint,omitempty"`
		CachedTokens int    `cbor:"5,keyasint,omitempty"`
		ValidMicros  int64  `cbor:"6,keyasint,omitempty"`
		Reason       uint8  `cbor:"7,keyasint,omitempty"`
		RetryMicros  int64  `cbor:"8,keyasint,omitempty"`
	}
	wireDone struct {
		Outcome      uint8 `cbor:"1,keyasint"`
		OutputTokens int   `cbor:"2,keyasint"`
		CacheKnown   bool  `cbor:"3,keyasint,omitempty"`
		CachedTokens int   `cbor:"4,keyasint,omitempty"`
		Refused      bool  `cbor:"5,keyasint,omitempty"`
	}
	wireHeartbeat struct {
		From        wireInstance   `cbor:"1,keyasint"`
		Incarnation uint64         `cbor:"2,keyasint"`
		Revision    uint64         `cbor:"3,keyasint"`
		Digest      string         `cbor:"4,keyasint,omitempty"`
		Leaving     []string       `cbor:"5,keyasint,omitempty"`
		Known       []wireInstance `cbor:"6,keyasint,omitempty"`
		// StoreMicros is 0 if the sender knows of no read of the store.
		StoreMicros int64 `cbor:"7,keyasint,omitempty"`
		// Crashes is missing in heartbeats of before it was told.
		Crashes []wireCrash `cbor:"8,keyasint,omitempty"`
	}
	wireCrash struct {
		ID        uint64        `cbor:"1,keyasint"`
		AgeMicros int64         `cbor:"2,keyasint"`
		Runs      []wireCrashed `cbor:"3,keyasint,omitempty"`
	}
	wireCrashed struct {
		Request  uint64 `cbor:"1,keyasint"`
		Outlived bool   `cbor:"2,keyasint,omitempty"`
	}
	wireInstance struct {
		ID         string `cbor:"1,keyasint"`
		DataCentre string `cbor:"2,keyasint"`
		Address    string `cbor:"3,keyasint"`
		State      uint8  `cbor:"4,keyasint"`
	}
	wireDigest struct {
		Digest string `cbor:"1,keyasint"`
	}
)

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeFrame writes one message.
func writeFrame(w io.Writer, kind messageKind, message any) error {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	frame[0] = byte(kind)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(payload)))
	if _, err := w.Write(append(frame, payload...)); err != nil {
		return eris.Wrap(err, "write message")
	}
	return nil
}

// readFrame reads one message; io.EOF means that the stream ended between two.
func readFrame(r io.Reader) (messageKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > maxFrameBytes {
		return 0, nil, eris.Wrapf(ErrFrame, "message of %d bytes", length)
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return 0, nil, err
	}
	if len(payload) < int(length) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return messageKind(header[0]), payload, nil
}

func decode(payload []byte, message any) error {
	if err := decoding.Unmarshal(payload, message); err != nil {
		return eris.Wrap(ErrFrame, err.Error())
	}
	return nil
}

func askToWire(ask shelfshelf.Ask, target shelfshelf.TargetName, now time.Time) wireAsk {
	wire := wireAsk{
		ID:             string(ask.ID),
		Customer:       string(ask.Customer),
		Route:          string(ask.Route),
		Pool:           string(ask.Pool),
		Tier:           int(ask.Tier),
		Weight:         ask.Weight,
		PromptTokens:   ask.PromptTokens,
		OutputTokens:   ask.OutputTokens,
		WaitedMicros:   now.Sub(ask.Arrived).Microseconds(),
		DeadlineMicros: ask.Deadline.Sub(now).Microseconds(),
		Target:         string(target),
	}
	if !ask.FirstTokenBy.IsZero() {
		// Never 0, which means none.
		wire.FirstTokenMicros = ask.FirstTokenBy.Sub(now).Microseconds() | 1
	}
	for _, mark := range ask.Prefix {
		wire.Prefix = append(wire.Prefix, wireMark{Tokens: mark.Tokens, Hash: uint64(mark.Hash)})
	}
	for _, target := range ask.Avoid {
		wire.Avoid = append(wire.Avoid, string(target))
	}
	return wire
}

func (w *wireAsk) domain(now time.Time) shelfshelf.Ask {
	ask := shelfshelf.Ask{
		ID:           shelfshelf.RequestID(w.ID),
		Customer:     shelfshelf.CustomerName(w.Customer),
		Route:        shelfshelf.RouteName(w.Route),
		Pool:         shelfshelf.PoolName(w.Pool),
		Tier:         shelfshelf.Tier(w.Tier),
		Weight:       w.Weight,
		PromptTokens: max(w.PromptTokens, 0),
		OutputTokens: max(w.OutputTokens, 0),
		Arrived:      now.Add(-micros(w.WaitedMicros)),
		Deadline:     now.Add(micros(w.DeadlineMicros)),
	}
	if w.FirstTokenMicros != 0 {
		ask.FirstTokenBy = now.Add(micros(w.FirstTokenMicros))
	}
	for _, mark := range w.Prefix {
		ask.Prefix = append(ask.Prefix, shelfshelf.PromptPrefix{Tokens: mark.Tokens, Hash: shelfshelf.BlockHash(mark.Hash)})
	}
	for _, target := range w.Avoid {
		ask.Avoid = append(ask.Avoid, shelfshelf.TargetName(target))
	}
	return ask
}

func decisionToWire(decision shelfshelf.Decision, now time.Time) wireDecision {
	wire := wireDecision{
		ID:           string(decision.ID),
		Granted:      decision.Granted,
		Target:       string(decision.Target),
		Priority:     decision.Priority,
		CachedTokens: decision.CachedTokens,
		Reason:       uint8(decision.Reason),
		RetryMicros:  decision.RetryAfter.Microseconds(),
	}
	if decision.Granted {
		wire.ValidMicros = decision.ValidUntil.Sub(now).Microseconds()
	}
	return wire
}

func (w *wireDecision) domain(now time.Time) shelfshelf.Decision {
	return shelfshelf.Decision{
		ID:           shelfshelf.RequestID(w.ID),
		Granted:      w.Granted,
		Target:       shelfshelf.TargetName(w.Target),
		Priority:     w.Priority,
		CachedTokens: w.CachedTokens,
		ValidUntil:   now.Add(micros(w.ValidMicros)),
		Reason:       shelfshelf.RefusalReason(w.Reason),
		RetryAfter:   micros(w.RetryMicros),
	}
}

func doneToWire(completion shelfshelf.Completion) wireDone {
	return wireDone{
		Outcome:      uint8(completion.Outcome),
		Refused:      completion.Refused,
		OutputTokens: completion.OutputTokens,
		CacheKnown:   completion.CacheKnown,
		CachedTokens: completion.CachedTokens,
	}
}

func (w *wireDone) domain(id shelfshelf.RequestID, target shelfshelf.TargetName) shelfshelf.Completion {
	return shelfshelf.Completion{
		ID:           id,
		Target:       target,
		Outcome:      shelfshelf.Outcome(w.Outcome),
		Refused:      w.Refused,
		OutputTokens: w.OutputTokens,
		CacheKnown:   w.CacheKnown,
		CachedTokens: w.CachedTokens,
	}
}

func heartbeatToWire(beat shelfshelf.Heartbeat) wireHeartbeat {
	wire := wireHeartbeat{
		From:        instanceToWire(beat.From),
		Incarnation: beat.Incarnation,
		Revision:    uint64(beat.Head.Revision),
		Digest:      beat.Head.Digest,
	}
	if beat.StoreSeen {
		wire.StoreMicros = beat.StoreAge.Microseconds() | 1
	}
	for _, target := range beat.Leaving {
		wire.Leaving = append(wire.Leaving, string(target))
	}
	for _, instance := range beat.Known {
		wire.Known = append(wire.Known, instanceToWire(instance))
	}
	for _, crash := range beat.Crashes {
		wire.Crashes = append(wire.Crashes, crashToWire(crash))
	}
	return wire
}

func crashToWire(crash shelfshelf.Crash) wireCrash {
	wire := wireCrash{ID: uint64(crash.ID), AgeMicros: crash.Age.Microseconds()}
	for _, run := range crash.Requests {
		wire.Runs = append(wire.Runs, wireCrashed{Request: uint64(run.Request), Outlived: run.Cleared})
	}
	return wire
}

func (w *wireCrash) domain() shelfshelf.Crash {
	crash := shelfshelf.Crash{ID: shelfshelf.CrashID(w.ID), Age: micros(w.AgeMicros)}
	for _, run := range w.Runs {
		crash.Requests = append(crash.Requests, shelfshelf.InFlightRequest{Request: shelfshelf.Fingerprint(run.Request), Cleared: run.Outlived})
	}
	return crash
}

func (w *wireHeartbeat) domain() shelfshelf.Heartbeat {
	beat := shelfshelf.Heartbeat{
		From:        w.From.domain(),
		Incarnation: w.Incarnation,
		Head:        shelfshelf.Head{Revision: shelfshelf.Revision(w.Revision), Digest: w.Digest},
	}
	if w.StoreMicros != 0 {
		beat.StoreSeen = true
		beat.StoreAge = micros(w.StoreMicros)
	}
	for _, target := range w.Leaving {
		beat.Leaving = append(beat.Leaving, shelfshelf.TargetName(target))
	}
	for _, instance := range w.Known {
		beat.Known = append(beat.Known, instance.domain())
	}
	for _, crash := range w.Crashes {
		beat.Crashes = append(beat.Crashes, crash.domain())
	}
	return beat
}

func instanceToWire(instance shelfshelf.Instance) wireInstance {
	return wireInstance{
		ID:         string(instance.ID),
		DataCentre: string(instance.DataCentre),
		Address:    instance.Address,
		State:      uint8(instance.State),
	}
}

func (w wireInstance) domain() shelfshelf.Instance {
	return shelfshelf.Instance{
		ID:         shelfshelf.InstanceID(w.ID),
		DataCentre: shelfshelf.DataCentre(w.DataCentre),
		Address:    w.Address,
		State:      shelfshelf.InstanceState(w.State),
	}
}

func micros(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}

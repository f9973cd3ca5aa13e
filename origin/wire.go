package origin

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// Marker is the first byte of every datagram of this package. It tells them apart from datagrams of other
// packages on the same socket. Builds that don't know it drop the datagram.
const Marker byte = 0x02

const (
	// maxDatagramRecords is how many records a datagram carries at most, so that one with usual names of
	// versions fits a network packet.
	maxDatagramRecords = 24
	// maxVersionBytes bounds the name of a version that is told to others.
	maxVersionBytes = 256
)

// kind is the type of a message.
type kind uint8

const (
	// kindTell carries records.
	kindTell kind = iota + 1
	// kindAsk asks for one record, and kindAnswer answers it.
	kindAsk
	kindAnswer
)

// state is what an instance knows of a stream.
type state uint8

const (
	// stateNone means that there is no record.
	stateNone state = iota
	// stateKnown means that there is one.
	stateKnown
	// stateConflicting means that streams of the same key began at several versions.
	stateConflicting
)

// message is one datagram.
type message struct {
	kind kind
	// id matches an answer with its question.
	id      uint64
	records []sharedRecord
	key     shelfshelf.StreamKey
	pool    shelfshelf.PoolName
	state   state
	version shelfshelf.TargetVersion
	// several says that the answering instance knows of several versions of the pool.
	several bool
}

type (
	wireMessage struct {
		_       struct{} `cbor:",toarray"`
		Kind    uint8
		ID      uint64
		Records []wireRecord
		Key     []byte
		Pool    string
		State   uint8
		Version string
		Several bool
	}
	wireRecord struct {
		_              struct{} `cbor:",toarray"`
		Key            []byte
		Version        string
		LifetimeMillis int64
		Conflicting    bool
	}
)

func encode(m message) ([]byte, error) {
	wire := wireMessage{
		Kind: uint8(m.kind), ID: m.id, Pool: string(m.pool), State: uint8(m.state), Version: string(m.version), Several: m.several,
	}
	if m.kind == kindAsk {
		wire.Key = m.key[:]
	}
	for _, told := range m.records {
		wire.Records = append(wire.Records, wireRecord{
			Key: told.Key[:], Version: string(told.Version), LifetimeMillis: told.Lifetime.Milliseconds(), Conflicting: told.conflicting,
		})
	}
	content, err := cbor.Marshal(wire)
	if err != nil {
		return nil, eris.Wrap(err, "encode a message on streams")
	}
	return append([]byte{Marker}, content...), nil
}

func decode(content []byte) (message, error) {
	if len(content) == 0 || content[0] != Marker {
		return message{}, eris.New("decode a message on streams: missing marker byte")
	}
	var wire wireMessage
	if err := cbor.Unmarshal(content[1:], &wire); err != nil {
		return message{}, eris.Wrap(err, "decode a message on streams")
	}
	m := message{
		kind: kind(wire.Kind), id: wire.ID, pool: shelfshelf.PoolName(wire.Pool),
		state: state(wire.State), version: shelfshelf.TargetVersion(wire.Version), several: wire.Several,
	}
	if m.kind == kindAsk && copy(m.key[:], wire.Key) != len(m.key) {
		return message{}, eris.Errorf("decode a message on streams: key of %d bytes", len(wire.Key))
	}
	for _, w := range wire.Records {
		told, err := recordFromWire(w)
		if err != nil {
			return message{}, err
		}
		m.records = append(m.records, told)
	}
	return m, nil
}

func recordFromWire(w wireRecord) (sharedRecord, error) {
	var told sharedRecord
	if len(w.Key) != len(told.Key) || len(w.Version) > maxVersionBytes || w.LifetimeMillis < 0 {
		return sharedRecord{}, eris.Errorf("decode a record of a stream: key of %d bytes, version of %d bytes, lifetime of %d ms", len(w.Key), len(w.Version), w.LifetimeMillis)
	}
	copy(told.Key[:], w.Key)
	told.Version = shelfshelf.TargetVersion(w.Version)
	told.Lifetime = time.Duration(min(w.LifetimeMillis, maxLifetime.Milliseconds())) * time.Millisecond
	told.conflicting = w.Conflicting
	return told, nil
}

package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

// state is how far a claim has come.
type state string

const (
	// stateHeld means that the holder may dispatch, or has dispatched.
	stateHeld state = "held"
	// stateFinished means that the answer is in the row.
	stateFinished state = "finished"
	// stateReleased means that the call was provably not run; anyone may claim.
	stateReleased state = "released"
)

// row is the content of a claim.
type row struct {
	state  state
	nonce  string
	holder shelfshelf.InstanceID
	digest string
	at     time.Time
	answer shelfshelf.ServiceAnswer
}

type wireRow struct {
	State  string      `json:"state"`
	Nonce  string      `json:"nonce"`
	Holder string      `json:"holder"`
	Digest string      `json:"digest"`
	At     time.Time   `json:"at"`
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func (r *row) encode() []byte {
	encoded, err := json.Marshal(wireRow{
		State:  string(r.state),
		Nonce:  r.nonce,
		Holder: string(r.holder),
		Digest: r.digest,
		At:     r.at,
		Status: r.answer.Status,
		Header: r.answer.Header,
		Body:   r.answer.Body,
	})
	if err != nil {
		panic(err) // the fields above always encode
	}
	return encoded
}

func decodeRow(content []byte) (*row, error) {
	var wire wireRow
	if err := json.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "unreadable claim")
	}
	return &row{
		state:  state(wire.State),
		nonce:  wire.Nonce,
		holder: shelfshelf.InstanceID(wire.Holder),
		digest: wire.Digest,
		at:     wire.At,
		answer: shelfshelf.ServiceAnswer{Status: wire.Status, Header: wire.Header, Body: wire.Body},
	}, nil
}

// keyPrefix begins the key of each claim.
const keyPrefix = "claim/"

// rowKey hides the caller's key, which may be anything, behind a hash.
func rowKey(customer shelfshelf.CustomerName, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + string(customer) + "/" + hex.EncodeToString(sum[:])
}

// Digest identifies a call: its method, path and body.
func Digest(method, path string, body []byte) string {
	hash := sha256.New()
	hash.Write([]byte(method + " " + path + "\n"))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

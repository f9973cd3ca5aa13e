package forward

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/bounds"
	"github.com/shelfshelf/shelfshelf/upstream"
)

// Path is the URL path at which instances take requests for targets from each other.
const Path = "/forward"

// The headers of an exchange between instances. The target is named in the head, since the instance connects
// to it before it asks for the body.
const (
	headerTarget  = "Shelf-Target"
	headerAddress = "Shelf-Address"
	headerFresh   = "Shelf-Fresh"
	// headerSize is the size of the request's own body in bytes, for which the instance needs room.
	headerSize  = "Shelf-Size"
	headerProbe = "Shelf-Probe"
	// headerOutcome is an outcome in the head of a response, or in the trailer after the body of a target's
	// response.
	headerOutcome = "Shelf-Outcome"
)

// outcome is how an instance's attempt to serve a request of another one ended.
type outcome string

const (
	// outcomeComplete means that the target's response was complete.
	outcomeComplete outcome = "complete"
	// outcomeReached means that a probe opened a connection to the target.
	outcomeReached outcome = "reached"
	// outcomeUnreachable and outcomeRefused mean that no connection could be opened; nothing was sent.
	outcomeUnreachable outcome = "unreachable"
	outcomeRefused     outcome = "refused"
	// outcomeCut means that the instance's own links fail too; nothing was sent.
	outcomeCut outcome = "cut"
	// outcomeBusy means that the instance takes no more requests of others; nothing was sent.
	outcomeBusy outcome = "busy"
	// outcomeUnknown means that the target is not in the instance's list; nothing was sent.
	outcomeUnknown outcome = "unknown"
	// outcomeOldBuild means that the instance doesn't know the exchange; nothing was sent.
	outcomeOldBuild outcome = "old build"
	// outcomeUnsent means that the request was not sent after all.
	outcomeUnsent outcome = "unsent"
	// outcomeClosed means that the target closed or reset the connection, and outcomeBroken that the round
	// trip failed otherwise. The request may have run.
	outcomeClosed outcome = "closed"
	outcomeBroken outcome = "broken"
)

// maxHeadBytes bounds the encoded head of a target's response. The instance that reads the head from the target takes
// 64 KiB; the encoding adds less than that.
const maxHeadBytes = 128 << 10

type (
	wireRequest struct {
		_          struct{} `cbor:",toarray"`
		ID         string
		Method     string
		RequestURI string
		Host       string
		Header     http.Header
		Body       []byte
		// Timeout is how long the request may take from now on, in nanoseconds; 0 if that isn't known.
		Timeout int64
	}
	wireHead struct {
		_      struct{} `cbor:",toarray"`
		Status int
		Header http.Header
		Length int64
		Framed bool
	}
)

func encodeRequest(request upstream.Request, timeout time.Duration) ([]byte, error) {
	content, err := cbor.Marshal(wireRequest{
		ID: string(request.ID), Method: request.Method, RequestURI: request.RequestURI, Host: request.Host,
		Header: request.Header, Body: request.Body, Timeout: int64(timeout),
	})
	return content, eris.Wrap(err, "encode a request for another instance")
}

func decodeRequest(content []byte) (request upstream.Request, timeout time.Duration, err error) {
	var wire wireRequest
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return request, 0, eris.Wrap(err, "decode a request of another instance")
	}
	request = upstream.Request{
		ID: shelfshelf.RequestID(wire.ID), Method: wire.Method, RequestURI: wire.RequestURI, Host: wire.Host,
		Header: wire.Header, Body: wire.Body,
	}
	return request, time.Duration(wire.Timeout), nil
}

// writeHead writes the head of a target's response, preceded by its length.
func writeHead(w io.Writer, response *upstream.Response) error {
	content, err := cbor.Marshal(wireHead{
		Status: response.Status, Header: response.Header, Length: response.Length, Framed: response.Framed,
	})
	if err != nil {
		return eris.Wrap(err, "encode the head of a response")
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...))
	return err
}

// readHead reads what writeHead wrote.
func readHead(r io.Reader) (*upstream.Response, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHeadBytes {
		return nil, &bounds.Exceeded{Bound: bounds.HeadBytes, Bytes: int64(size)}
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(r, content); err != nil {
		return nil, err
	}
	var wire wireHead
	if err := cbor.Unmarshal(content, &wire); err != nil {
		return nil, eris.Wrap(err, "decode the head of a response")
	}
	return &upstream.Response{Status: wire.Status, Header: wire.Header, Length: wire.Length, Framed: wire.Framed}, nil
}

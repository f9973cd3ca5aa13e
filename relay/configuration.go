package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/catalog"
	"github.com/shelfshelf/shelfshelf/parts"
)

// batchBytes bounds the parts of one answer, packed: a link of 10 Mbit/s carries it in
// 52 ms, so that an answer which is lost costs no more.
const batchBytes = 64 << 10

// cutConfiguration is a configuration in parts. It changes only in packed, under the
// relay's lock.
type cutConfiguration struct {
	index   *catalog.Index
	ids     []parts.ID
	content map[parts.ID][]byte
	// packed are the parts that were asked for, as they go to others.
	packed map[parts.ID][]byte
}

func cut(index *catalog.Index) *cutConfiguration {
	c := &cutConfiguration{index: index, content: make(map[parts.ID][]byte), packed: make(map[parts.ID][]byte)}
	for _, part := range parts.Split(index.Encoded) {
		c.ids = append(c.ids, part.ID)
		c.content[part.ID] = part.Content
	}
	return c
}

// inParts returns the configuration in force in parts, and up to when it is known to hold;
// nil if there is none.
func (r *Relay) inParts() (*cutConfiguration, time.Time) {
	index, at := r.Catalog.Index()
	if index == nil {
		return nil, at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut == nil || r.cut.index != index {
		r.cut = cut(index)
	}
	return r.cut, at
}

func (r *Relay) serveManifest(w http.ResponseWriter, _ *http.Request) {
	c, at := r.inParts()
	if c == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeManifest(manifest{
		age: r.Clock.Now().Sub(at), revision: c.index.Revision, size: len(c.index.Encoded), ids: c.ids,
	})
	r.write(w, content, err)
}

// serveParts sends the parts that are asked for, in their order, as many as an answer
// may hold.
func (r *Relay) serveParts(w http.ResponseWriter, request *http.Request) {
	asked, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxFetched))
	if err != nil {
		http.Error(w, "can't be read", http.StatusBadRequest)
		return
	}
	ids, err := decodeIDs(asked)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	packed, err := r.pack(ids)
	if err != nil {
		r.write(w, nil, err)
		return
	}
	content, err := encodeParts(packed)
	r.write(w, content, err)
}

// pack returns the first of these parts that are known here, packed.
func (r *Relay) pack(ids []parts.ID) ([][]byte, error) {
	c, _ := r.inParts()
	if c == nil {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list [][]byte
	size := 0
	for _, id := range ids {
		content, known := c.content[id]
		if !known {
			continue
		}
		if c.packed[id] == nil {
			packed, err := parts.Pack(content)
			if err != nil {
				return nil, err
			}
			c.packed[id] = packed
		}
		size += len(c.packed[id])
		if size > batchBytes && len(list) > 0 {
			break
		}
		list = append(list, c.packed[id])
	}
	return list, nil
}

// fetchConfiguration fetches the parts of another instance's configuration that are not
// known here. Those that have come are kept if it fails, so that the next try, with
// whatever instance, goes on from there.
func (r *Relay) fetchConfiguration(ctx context.Context, e *exchange) error {
	content, err := e.ask(ctx, http.MethodGet, kindConfiguration, nil)
	if err != nil {
		return err
	}
	m, err := decodeManifest(content)
	if err != nil {
		return err
	}
	at := e.began.Add(-m.age)
	if !r.Catalog.Lacks(m.revision) {
		r.Catalog.Confirm(m.revision, at)
		return nil
	}
	known := r.known(m)
	for missing := m.missing(known); len(missing) > 0; missing = m.missing(known) {
		if err := r.fetchParts(ctx, e, missing, known); err != nil {
			return err
		}
	}
	r.received = nil
	return r.Catalog.Offer(m.join(known), at, e.address)
}

// known returns the parts that a manifest names and that are here, and forgets those that
// it doesn't.
func (r *Relay) known(m manifest) map[parts.ID][]byte {
	c, _ := r.inParts()
	known := make(map[parts.ID][]byte, len(m.ids))
	for _, id := range m.ids {
		content, here := r.received[id]
		if !here && c != nil {
			content, here = c.content[id]
		}
		if here {
			known[id] = content
		}
	}
	r.received = known
	return known
}

// fetchParts asks for parts and adds those that come.
func (r *Relay) fetchParts(ctx context.Context, e *exchange, missing []parts.ID, known map[parts.ID][]byte) error {
	content, err := e.ask(ctx, http.MethodPost, kindParts, encodeIDs(missing))
	if err != nil {
		return err
	}
	list, err := decodeParts(content)
	if err != nil {
		return err
	}
	before := len(known)
	for _, packed := range list {
		part, err := parts.Unpack(packed)
		if err != nil {
			return err
		}
		// What was not asked for would be kept for nothing.
		if id := parts.IDOf(part); slices.Contains(missing, id) {
			known[id] = part
		}
	}
	if len(known) == before {
		return eris.New("another instance has none of the parts any more")
	}
	return nil
}

// manifest says what a configuration is made of.
type manifest struct {
	// age is how long ago it was known to be the newest.
	age      time.Duration
	revision shelfshelf.Revision
	// size is that of the whole, in bytes.
	size int
	ids  []parts.ID
}

// missing returns the parts that are not known, each once.
func (m manifest) missing(known map[parts.ID][]byte) []parts.ID {
	var missing []parts.ID
	listed := make(map[parts.ID]bool)
	for _, id := range m.ids {
		if _, here := known[id]; !here && !listed[id] {
			listed[id] = true
			missing = append(missing, id)
		}
	}
	return missing
}

// join puts the whole together.
func (m manifest) join(known map[parts.ID][]byte) []byte {
	var whole bytes.Buffer
	whole.Grow(m.size)
	for _, id := range m.ids {
		whole.Write(known[id])
	}
	return whole.Bytes()
}

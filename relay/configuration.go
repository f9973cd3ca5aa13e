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

// maxBatchBytes bounds the compressed parts in one response. A 10 Mbit/s link carries that much in
// 52 ms, so a lost response costs no more than that.
const maxBatchBytes = 64 << 10

// splitConfiguration is a configuration split into parts. Only compressed changes after creation; it is
// guarded by Relay.mu.
type splitConfiguration struct {
	index   *catalog.Index
	ids     []parts.ID
	content map[parts.ID][]byte
	// compressed caches the compressed form of the parts requested so far.
	compressed map[parts.ID][]byte
}

func splitIndex(index *catalog.Index) *splitConfiguration {
	c := &splitConfiguration{index: index, content: make(map[parts.ID][]byte), compressed: make(map[parts.ID][]byte)}
	for _, part := range parts.Split(index.Encoded) {
		c.ids = append(c.ids, part.ID)
		c.content[part.ID] = part.Content
	}
	return c
}

// currentSplit returns the configuration in force, split into parts, and the time up to which it is known
// to be current. It returns nil if there is no configuration.
func (r *Relay) currentSplit() (*splitConfiguration, time.Time) {
	index, at := r.Catalog.Index()
	if index == nil {
		return nil, at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.split == nil || r.split.index != index {
		r.split = splitIndex(index)
	}
	return r.split, at
}

func (r *Relay) serveManifest(w http.ResponseWriter, _ *http.Request) {
	c, at := r.currentSplit()
	if c == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	content, err := encodeManifest(manifest{
		age: r.Clock.Now().Sub(at), revision: c.index.Revision, size: len(c.index.Encoded), ids: c.ids,
	})
	r.writeResponse(w, content, err)
}

// serveParts sends the requested parts in the order of the request, as many as fit in one response.
func (r *Relay) serveParts(w http.ResponseWriter, request *http.Request) {
	// Writers without deadline support, as in tests, are left as they are.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "can't be read", http.StatusBadRequest)
		return
	}
	ids, err := decodeIDs(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch, err := r.compressedParts(ids)
	if err != nil {
		r.writeResponse(w, nil, err)
		return
	}
	content, err := encodeParts(batch)
	r.writeResponse(w, content, err)
}

// compressedParts returns the compressed form of the known parts among ids, up to maxBatchBytes but at
// least one.
func (r *Relay) compressedParts(ids []parts.ID) ([][]byte, error) {
	c, _ := r.currentSplit()
	if c == nil {
		return nil, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch [][]byte
	size := 0
	for _, id := range ids {
		content, found := c.content[id]
		if !found {
			continue
		}
		if c.compressed[id] == nil {
			compressed, err := parts.Pack(content)
			if err != nil {
				return nil, err
			}
			c.compressed[id] = compressed
		}
		size += len(c.compressed[id])
		if size > maxBatchBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, c.compressed[id])
	}
	return batch, nil
}

// fetchConfiguration fetches the parts of another instance's configuration that are missing here. If it
// fails, the parts received so far are kept, so the next attempt resumes from there, with any instance.
func (r *Relay) fetchConfiguration(ctx context.Context, e *exchange) error {
	content, err := e.send(ctx, http.MethodGet, kindConfiguration, nil)
	if err != nil {
		return err
	}
	m, err := decodeManifest(content)
	if err != nil {
		return err
	}
	at := e.startedAt.Add(-m.age)
	if !r.Catalog.IsNewer(m.revision) {
		r.Catalog.ConfirmConfiguration(m.revision, at)
		return nil
	}
	known := r.knownParts(m)
	for missing := m.missing(known); len(missing) > 0; missing = m.missing(known) {
		if err := r.fetchParts(ctx, e, missing, known); err != nil {
			return err
		}
	}
	r.receivedParts = nil
	return r.Catalog.OfferConfiguration(m.join(known), at, e.address)
}

// knownParts returns the parts listed in a manifest that are available locally. It discards received parts
// that the manifest does not list.
func (r *Relay) knownParts(m manifest) map[parts.ID][]byte {
	c, _ := r.currentSplit()
	known := make(map[parts.ID][]byte, len(m.ids))
	for _, id := range m.ids {
		content, found := r.receivedParts[id]
		if !found && c != nil {
			content, found = c.content[id]
		}
		if found {
			known[id] = content
		}
	}
	r.receivedParts = known
	return known
}

// fetchParts requests the missing parts and adds the received ones to known.
func (r *Relay) fetchParts(ctx context.Context, e *exchange, missing []parts.ID, known map[parts.ID][]byte) error {
	content, err := e.send(ctx, http.MethodPost, kindParts, encodeIDs(missing))
	if err != nil {
		return err
	}
	batch, err := decodeParts(content)
	if err != nil {
		return err
	}
	countBefore := len(known)
	for _, compressed := range batch {
		part, err := parts.Unpack(compressed)
		if err != nil {
			return err
		}
		// Ignore parts that were not requested: keeping them would waste memory.
		if id := parts.IDOf(part); slices.Contains(missing, id) {
			known[id] = part
		}
	}
	if len(known) == countBefore {
		return eris.New("the other instance no longer has any of the requested parts")
	}
	return nil
}

// manifest lists the parts of a configuration.
type manifest struct {
	// age is the time since the configuration was last known to be the newest.
	age      time.Duration
	revision shelfshelf.Revision
	// size is the size of the encoded configuration in bytes.
	size int
	ids  []parts.ID
}

// missing returns the IDs of the parts that are not in known, without duplicates.
func (m manifest) missing(known map[parts.ID][]byte) []parts.ID {
	var missing []parts.ID
	listed := make(map[parts.ID]bool)
	for _, id := range m.ids {
		if _, found := known[id]; !found && !listed[id] {
			listed[id] = true
			missing = append(missing, id)
		}
	}
	return missing
}

// join concatenates the parts into the encoded configuration.
func (m manifest) join(known map[parts.ID][]byte) []byte {
	var content bytes.Buffer
	content.Grow(m.size)
	for _, id := range m.ids {
		content.Write(known[id])
	}
	return content.Bytes()
}

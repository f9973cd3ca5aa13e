package prompt

import (
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
)

const (
	// BytesPerToken is the estimate for text in the languages we serve.
	BytesPerToken = 4
	blockBytes    = shelfshelf.BlockTokens * BytesPerToken
	// denseMarks is how many marks stand at every block before they thin out.
	denseMarks = 4
	// markGrowth is by how much each later mark reaches further, in quarters.
	markGrowth = 5
	markParts  = 4
)

// Parsed is a measured prompt.
type Parsed struct {
	// Tokens is the estimated length.
	Tokens int
	// Blocks are the hashes of the full blocks, chained from the start.
	Blocks []shelfshelf.BlockHash
}

// Request is what the scheduler reads of an OpenAI-style request.
type Request struct {
	Model     string
	Stream    bool
	MaxTokens int
	Prompt    Parsed
}

type wireRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []wireMessage   `json:"messages"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Decode reads an OpenAI-style request.
func Decode(content []byte) (Request, error) {
	var wire wireRequest
	if err := json.Unmarshal(content, &wire); err != nil {
		return Request{}, eris.Wrap(err, "the body is not a completion request")
	}
	text, err := wire.text()
	if err != nil {
		return Request{}, err
	}
	return Request{
		Model:     wire.Model,
		Stream:    wire.Stream,
		MaxTokens: max(wire.MaxTokens, wire.MaxCompletionTokens),
		Prompt:    Measure(text),
	}, nil
}

// text joins what the engine will read.
func (w *wireRequest) text() ([]byte, error) {
	if len(w.Messages) == 0 {
		if len(w.Prompt) == 0 {
			return nil, eris.New("field prompt or messages is missing")
		}
		return unquote(w.Prompt), nil
	}
	var text []byte
	for _, message := range w.Messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		text = append(text, unquote(message.Content)...)
		text = append(text, '\n')
	}
	return text, nil
}

// unquote returns a JSON string's text, or any other value as it stands.
func unquote(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// Read reads an OpenAI-style request from a stream and decodes other fields of
// it into more.
func Read(body io.Reader, more any) ([]byte, Parsed, error) {
	content, err := io.ReadAll(body)
	if err != nil {
		return nil, Parsed{}, eris.Wrap(err, "read request")
	}
	request, err := Decode(content)
	if err != nil {
		return nil, Parsed{}, err
	}
	if err := json.Unmarshal(content, more); err != nil {
		return nil, Parsed{}, eris.Wrap(err, "decode request")
	}
	return content, request.Prompt, nil
}

// Measure estimates a text's tokens and hashes its blocks.
func Measure(text []byte) Parsed {
	parsed := Parsed{Tokens: (len(text) + BytesPerToken - 1) / BytesPerToken}
	parsed.Blocks = make([]shelfshelf.BlockHash, 0, len(text)/blockBytes)
	chained := shelfshelf.BlockHash(0)
	for len(text) >= blockBytes {
		chained = Chain(chained, xxhash.Sum64(text[:blockBytes]))
		parsed.Blocks = append(parsed.Blocks, chained)
		text = text[blockBytes:]
	}
	return parsed
}

// Chain returns the hash of a prompt up to a block from the hash before it and
// the block's own.
func Chain(before shelfshelf.BlockHash, block uint64) shelfshelf.BlockHash {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], uint64(before))
	binary.LittleEndian.PutUint64(pair[8:], block)
	return shelfshelf.BlockHash(xxhash.Sum64(pair[:]))
}

// Marks picks the blocks that an ask names: each of the first few, then ever
// fewer, and the last. A prompt of 32,000 tokens has some 25 marks, so that an
// ask stays small at any length.
func Marks(blocks []shelfshelf.BlockHash) []shelfshelf.PromptPrefix {
	var marks []shelfshelf.PromptPrefix
	for at := 1; at <= len(blocks); {
		marks = append(marks, markAt(blocks, at))
		if at < denseMarks {
			at++
			continue
		}
		at = max(at+1, at*markGrowth/markParts)
	}
	if last := len(blocks); last > 0 && marks[len(marks)-1].Tokens != last*shelfshelf.BlockTokens {
		marks = append(marks, markAt(blocks, last))
	}
	return marks
}

func markAt(blocks []shelfshelf.BlockHash, count int) shelfshelf.PromptPrefix {
	return shelfshelf.PromptPrefix{Tokens: count * shelfshelf.BlockTokens, Hash: blocks[count-1]}
}

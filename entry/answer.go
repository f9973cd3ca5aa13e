package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf"
	"github.com/shelfshelf/shelfshelf/engine"
)

// slowCaller is how long a caller may take to read what one chunk needs.
const slowCaller = 30 * time.Second

// answer writes a completion to the caller: each chunk as it comes, or the whole
// once it is complete.
type answer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stream  bool
	chat    bool
	// started is set once a status has been sent.
	started bool
	text    strings.Builder
	last    wireWhole
}

type (
	wireWhole struct {
		ID      string            `json:"id"`
		Object  string            `json:"object"`
		Choices []wireChoice      `json:"choices"`
		Usage   *engine.WireUsage `json:"usage,omitempty"`
	}
	wireChoice struct {
		Index        int          `json:"index"`
		Text         *string      `json:"text,omitempty"`
		Delta        *wireMessage `json:"delta,omitempty"`
		Message      *wireMessage `json:"message,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}
	wireMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
)

func newAnswer(w http.ResponseWriter, stream bool, path string) *answer {
	return &answer{
		writer:  w,
		control: http.NewResponseController(w),
		stream:  stream,
		chat:    strings.Contains(path, "chat"),
	}
}

// add takes one chunk of the engine's answer.
func (a *answer) add(chunk shelfshelf.EngineChunk) error {
	if a.stream {
		return a.send(chunk)
	}
	var part wireWhole
	if err := json.Unmarshal(chunk.Data, &part); err != nil {
		return eris.Wrap(err, "unreadable chunk")
	}
	for _, choice := range part.Choices {
		if choice.Text != nil {
			a.text.WriteString(*choice.Text)
		}
		if choice.Delta != nil {
			a.text.WriteString(choice.Delta.Content)
		}
	}
	a.last = part
	return nil
}

func (a *answer) send(chunk shelfshelf.EngineChunk) error {
	if !a.started {
		a.started = true
		header := a.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set("Trailer", HeaderOutcome)
		a.writer.WriteHeader(http.StatusOK)
	}
	// A caller that does not read would keep an engine's slot for ever. Writers
	// that know no deadline, as in tests, have no slow callers.
	_ = a.control.SetWriteDeadline(time.Now().Add(slowCaller))
	if err := a.event(chunk.Data); err != nil {
		return err
	}
	return a.control.Flush()
}

// event writes one server-sent event.
func (a *answer) event(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err := a.writer.Write(event)
	return err
}

// finish ends a whole answer.
func (a *answer) finish() {
	if a.stream {
		_ = a.event([]byte(engine.FinalData))
		a.writer.Header().Set(HeaderOutcome, shelfshelf.OutcomeDone.String())
		return
	}
	whole := a.last
	text := a.text.String()
	choice := wireChoice{Text: &text}
	whole.Object = "text_completion"
	if a.chat {
		whole.Object = "chat.completion"
		choice = wireChoice{Message: &wireMessage{Role: "assistant", Content: text}}
	}
	if len(a.last.Choices) > 0 {
		choice.FinishReason = a.last.Choices[0].FinishReason
	}
	whole.Choices = []wireChoice{choice}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.Header().Set(HeaderOutcome, shelfshelf.OutcomeDone.String())
	_ = json.NewEncoder(a.writer).Encode(whole)
}

// breakOff ends a stream that can't be completed: an error event and no end
// mark, so that no caller takes it for whole.
func (a *answer) breakOff(p *problem, id shelfshelf.RequestID) {
	encoded, err := json.Marshal(p.wire(id))
	if err == nil {
		_, _ = a.writer.Write([]byte("event: error\n"))
		_ = a.event(encoded)
	}
	a.writer.Header().Set(HeaderOutcome, p.outcome.String())
}

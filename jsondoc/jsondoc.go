package jsondoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Mistake is one thing wrong with a document.
type Mistake struct {
	// Field is the path of the field, such as routes[2].pool; empty for the whole.
	Field string
	// Line counts from 1; 0 if the place is not known.
	Line int
	// Text says what is wrong.
	Text string
}

// MistakesError is every mistake of one document, at least one.
type MistakesError struct {
	// Document names the document, usually its file.
	Document string
	Mistakes []Mistake
}

// Error lists the mistakes, one a line.
func (e *MistakesError) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, mistake := range e.Mistakes {
		place := e.Document
		if mistake.Line > 0 {
			place = fmt.Sprintf("%s:%d", place, mistake.Line)
		}
		if mistake.Field != "" {
			place += ": " + mistake.Field
		}
		lines = append(lines, place+": "+mistake.Text)
	}
	return strings.Join(lines, "\n")
}

// Schema is a compiled JSON Schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that the program embeds; it panics on a bad one.
func MustCompile(name string, source []byte) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		panic(eris.Wrapf(err, "schema %s", name))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(eris.Wrapf(err, "schema %s", name))
	}
	return &Schema{compiled: compiler.MustCompile(name)}
}

// Decode checks a document against the schema and decodes it into wire. The
// error is a *MistakesError.
func (s *Schema) Decode(name string, content []byte, wire any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return syntaxError(name, content, err)
	}
	if err := s.compiled.Validate(document); err != nil {
		return schemaError(name, content, err)
	}
	if err := json.Unmarshal(content, wire); err != nil {
		return syntaxError(name, content, err)
	}
	return nil
}

func syntaxError(name string, content []byte, err error) error {
	mistake := Mistake{Text: err.Error()}
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		mistake.Line = lineAt(content, syntax.Offset)
	case errors.As(err, &typed):
		mistake.Line = lineAt(content, typed.Offset)
		mistake.Field = typed.Field
	case strings.Contains(err.Error(), "EOF"):
		mistake.Line = lineAt(content, int64(len(content)))
		mistake.Text = "the document ends early"
	}
	return &MistakesError{Document: name, Mistakes: []Mistake{mistake}}
}

func schemaError(name string, content []byte, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return &MistakesError{Document: name, Mistakes: []Mistake{{Text: err.Error()}}}
	}
	found := &MistakesError{Document: name}
	printer := message.NewPrinter(language.English)
	collect(invalid, func(leaf *jsonschema.ValidationError) {
		found.Mistakes = append(found.Mistakes, Mistake{
			Field: FieldPath(leaf.InstanceLocation),
			Line:  LineOf(content, leaf.InstanceLocation),
			Text:  leaf.ErrorKind.LocalizedString(printer),
		})
	})
	slices.SortStableFunc(found.Mistakes, func(a, b Mistake) int { return a.Line - b.Line })
	return found
}

func collect(invalid *jsonschema.ValidationError, visit func(*jsonschema.ValidationError)) {
	if len(invalid.Causes) == 0 {
		visit(invalid)
		return
	}
	for _, cause := range invalid.Causes {
		collect(cause, visit)
	}
}

// FieldPath writes a location such as [routes 2 pool] as routes[2].pool.
func FieldPath(location []string) string {
	var path strings.Builder
	for _, part := range location {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			path.WriteString("[" + part + "]")
			continue
		}
		if path.Len() > 0 {
			path.WriteByte('.')
		}
		path.WriteString(part)
	}
	return path.String()
}

// LineOf returns the line on which the value at the location begins, or that of
// its nearest parent that exists; 0 if the document can't be read that far.
func LineOf(content []byte, location []string) int {
	decoder := json.NewDecoder(bytes.NewReader(content))
	offset := decoder.InputOffset()
	for _, part := range location {
		next, found := descend(decoder, part)
		if !found {
			break
		}
		offset = next
	}
	for offset < int64(len(content)) && strings.ContainsRune(" \t\r\n,:", rune(content[offset])) {
		offset++
	}
	return lineAt(content, offset)
}

// descend moves the decoder into the member or element named part and returns
// the offset just before its value.
func descend(decoder *json.Decoder, part string) (int64, bool) {
	open, err := decoder.Token()
	if err != nil {
		return 0, false
	}
	isObject := open == json.Delim('{')
	if !isObject && open != json.Delim('[') {
		return 0, false
	}
	for index := 0; decoder.More(); index++ {
		name := fmt.Sprint(index)
		if isObject {
			key, err := decoder.Token()
			if err != nil {
				return 0, false
			}
			name = fmt.Sprint(key)
		}
		if name == part {
			return decoder.InputOffset(), true
		}
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return 0, false
		}
	}
	return 0, false
}

func lineAt(content []byte, offset int64) int {
	offset = min(offset, int64(len(content)))
	return 1 + bytes.Count(content[:offset], []byte{'\n'})
}

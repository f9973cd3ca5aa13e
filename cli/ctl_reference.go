package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/shelfshelf/shelfshelf/bundle"
	"github.com/shelfshelf/shelfshelf/program"
	"github.com/shelfshelf/shelfshelf/settings"
)

// referenceCommand prints the reference of a document's fields.
type referenceCommand struct {
	Of string `long:"of" required:"true" choice:"entry" choice:"node" choice:"ctl" choice:"bundle" description:"which document"`
}

var referenceEntry = program.Command{
	Path:  []string{"reference"},
	Short: "print every field of the settings or the bundle, from the schema",
	Long:  "Prints a table of fields with their kinds and meanings, drawn from the JSON Schema that checks them. docs/SETTINGS.md and docs/BUNDLE.md hold its output.",
	New:   func() program.Runner { return &referenceCommand{} },
}

// schemaNode is the part of a JSON Schema that the reference needs.
type schemaNode struct {
	Ref                  string                 `json:"$ref"`
	Type                 string                 `json:"type"`
	Description          string                 `json:"description"`
	Pattern              string                 `json:"pattern"`
	Enum                 []string               `json:"enum"`
	Required             []string               `json:"required"`
	Properties           map[string]*schemaNode `json:"properties"`
	Items                *schemaNode            `json:"items"`
	AdditionalProperties json.RawMessage        `json:"additionalProperties"`
	Defs                 map[string]*schemaNode `json:"$defs"`
}

// Run prints the reference.
func (c *referenceCommand) Run(env *program.Environment, _ []string) error {
	sources := map[string][]byte{
		"entry":  settings.EntrySchema,
		"node":   settings.NodeSchema,
		"ctl":    settings.CtlSchema,
		"bundle": bundle.Schema,
	}
	var root schemaNode
	if err := json.Unmarshal(sources[c.Of], &root); err != nil {
		return eris.Wrap(err, "read schema")
	}
	_, _ = fmt.Fprintln(env.Out, "| field | kind | needed | meaning |\n| --- | --- | --- | --- |")
	(&referenceWriter{out: env.Out, defs: root.Defs}).fields("", &root)
	return nil
}

// referenceWriter writes the rows of a schema.
type referenceWriter struct {
	out  io.Writer
	defs map[string]*schemaNode
}

// fields writes a row for each field of an object and those below it.
func (w *referenceWriter) fields(path string, node *schemaNode) {
	for _, name := range slices.Sorted(maps.Keys(node.Properties)) {
		field := node.Properties[name]
		full := path + name
		resolved := w.resolve(field)
		needed := "no"
		if slices.Contains(node.Required, name) {
			needed = "yes"
		}
		meaning := field.Description
		if meaning == "" {
			meaning = resolved.Description
		}
		_, _ = fmt.Fprintf(w.out, "| %s | %s | %s | %s |\n", full, w.kind(field), needed, meaning)
		w.fields(full+".", resolved)
		if resolved.Items != nil {
			w.fields(full+"[].", w.resolve(resolved.Items))
		}
	}
}

func (w *referenceWriter) resolve(node *schemaNode) *schemaNode {
	if name, found := strings.CutPrefix(node.Ref, "#/$defs/"); found && w.defs[name] != nil {
		return w.defs[name]
	}
	return node
}

func (w *referenceWriter) kind(node *schemaNode) string {
	name, isRef := strings.CutPrefix(node.Ref, "#/$defs/")
	resolved := w.resolve(node)
	switch {
	case isRef && len(resolved.Properties) == 0:
		return name
	case len(resolved.Enum) > 0:
		return strings.Join(resolved.Enum, ", ")
	case resolved.Items != nil:
		return "list"
	}
	return resolved.Type
}

package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// Change is one field that differs between two bundles.
type Change struct {
	// Field is its path; items of a list are named by their name field.
	Field string
	// From and To are JSON; empty if the field is absent.
	From string
	To   string
}

// String returns the change in one line: + added, - removed, ~ changed.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.From)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.From, c.To)
}

// Diff returns what differs between the contents of two bundles, by field.
func Diff(from, to []byte) ([]Change, error) {
	var a, b any
	if err := json.Unmarshal(from, &a); err != nil {
		return nil, eris.Wrap(err, "first bundle")
	}
	if err := json.Unmarshal(to, &b); err != nil {
		return nil, eris.Wrap(err, "second bundle")
	}
	var changes []Change
	diffValue("", a, b, &changes)
	return changes, nil
}

func diffValue(field string, from, to any, changes *[]Change) {
	fromFields, fromOK := fieldsOf(from)
	toFields, toOK := fieldsOf(to)
	if !fromOK || !toOK {
		before, after := encode(from), encode(to)
		if before != after {
			*changes = append(*changes, Change{Field: field, From: before, To: after})
		}
		return
	}
	names := slices.Sorted(maps.Keys(fromFields))
	for name := range toFields {
		if _, both := fromFields[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		path := name
		if field != "" {
			path = field + "." + name
		}
		diffValue(path, fromFields[name], toFields[name], changes)
	}
}

// fieldsOf returns an object's fields, or a list's items by their names; ok is
// false for anything else.
func fieldsOf(value any) (map[string]any, bool) {
	switch typed := value.(type) {
	case map[string]any:
		return typed, true
	case []any:
		fields := make(map[string]any, len(typed))
		for _, item := range typed {
			object, ok := item.(map[string]any)
			if !ok {
				return nil, false
			}
			name, ok := object["name"].(string)
			if !ok {
				return nil, false
			}
			fields[name] = item
		}
		return fields, true
	}
	return nil, false
}

// encode returns a value as JSON; an absent one is empty.
func encode(value any) string {
	if value == nil {
		return ""
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(value) != nil {
		return "?"
	}
	return string(bytes.TrimSpace(out.Bytes()))
}

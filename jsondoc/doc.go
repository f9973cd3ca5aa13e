// Package jsondoc reads JSON documents that people write: it checks them
// against a JSON Schema and names the field and the line of every mistake.
package jsondoc

// Package settings reads the JSON settings of the programs. A schema checks
// them, and every mistake is named with its field and line.
package settings

// Package keys makes and reads the project's keys: approvers' signing keys, the
// authority of the instances' certificates, and customers' tokens.
package keys

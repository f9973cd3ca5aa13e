// Package usage reads what this process has used of the machine.
package usage

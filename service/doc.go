// Package service talks to plain services over HTTP, each call once.
package service

// Package fake holds the stand-ins for what lies outside: a model engine, a
// plain service and the platform. EngineCore is a small model of continuous
// batching without any I/O; the bench drives it on a fake clock and Engine puts
// HTTP around it.
package fake

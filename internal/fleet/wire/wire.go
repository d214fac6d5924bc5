// Package wire defines the messages that the processes of a fleet exchange.
//
// The code generated from wire.proto is committed, so that a build needs no
// generator.
//
// # Usage
//
// Regenerate after a change of wire.proto:
//
//	go generate ./internal/fleet/wire
package wire

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. wire.proto

// Package wire defines the messages between processes and the records of the durable state.
//
// The types in types.go are generated from schema.json.
package wire

//go:generate ../../.bin/go-jsonschema --only-models --tags json --capitalization ID -p wire -o types.go schema.json

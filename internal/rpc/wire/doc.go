// Package wire holds the messages and services between instances, generated
// from wire.proto. The generated code is committed, so a build needs no
// generator.
package wire

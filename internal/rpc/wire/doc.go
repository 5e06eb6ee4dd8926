// Package wire holds the messages and services of the calls between instances. It
// is generated from wire.proto. The generated code is committed, so a build needs no
// generator.
package wire

package rawtcp

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Endless is the part of an answer that never ends.
type Endless string

// The parts of an answer.
const (
	// Noise is no part of an answer: its first byte can begin none.
	Noise      Endless = "Noise"
	StatusLine Endless = "StatusLine"
	Field      Endless = "Field"
	Head       Endless = "Head"
	Interim    Endless = "Interim"
	Chunks     Endless = "Chunks"
	Extension  Endless = "Extension"
	Trailer    Endless = "Trailer"
	Body       Endless = "Body"
)

// AllEndless holds all parts.
var AllEndless = []Endless{Noise, StatusLine, Field, Head, Interim, Chunks, Extension, Trailer, Body}

// pieces returns what the answer begins with and what follows again and again. Field is
// an additional header field, or empty.
func (e Endless) pieces(field string) (begin, again string) {
	head := "HTTP/1.1 200 OK\r\n" + field
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch e {
	case Noise:
		return "", strings.Repeat("?", 64)
	case StatusLine:
		return "HTTP/1.1 200 ", strings.Repeat("O", 64)
	case Field:
		return head + "Long: ", strings.Repeat("a", 64)
	case Head:
		return head, "Again: " + strings.Repeat("a", 64) + "\r\n"
	case Interim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	case Chunks:
		return chunked, "40\r\n" + strings.Repeat("a", 64) + "\r\n"
	case Extension:
		return chunked + "5;", strings.Repeat("a", 64)
	case Trailer:
		return chunked + "0\r\n", "Again: " + strings.Repeat("a", 64) + "\r\n"
	case Body:
		return head + "\r\n", strings.Repeat("a", 64)
	}
	panic(fmt.Sprintf("no part of an answer: %q", string(e)))
}

// maxEndless is how many bytes an answer without end really has. Then the connection stays
// open until the other end closes it, so that a test of a reader without a limit fails
// rather than takes all memory.
const maxEndless = 64 << 20

// Write writes an answer without end to c, with a pause between its pieces, until the other
// end closes c. It returns the number of bytes written.
func (e Endless) Write(c net.Conn, field string, pause time.Duration) int64 {
	begin, again := e.pieces(field)
	if pause == 0 {
		again = strings.Repeat(again, 64)
	}
	written, following := int64(0), []byte(again)
	for piece := []byte(begin); written < maxEndless; piece = following {
		n, err := c.Write(piece)
		written += int64(n)
		if err != nil {
			return written
		}
		time.Sleep(pause)
	}
	_, _ = io.Copy(io.Discard, c)
	return written
}

package pipe

import (
	"bytes"
	"net/http"
	"strconv"
)

// statusLine returns the code and the text of a status, as in "404 Not Found".
func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	return strconv.Itoa(status) + " " + text
}

func writeLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}

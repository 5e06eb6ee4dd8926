package rawtcp

import (
	"net/http"
	"strings"
)

// InvalidStatuses returns by name answers to a GET whose status is no status of HTTP, or is one
// that answers no request. Field holds additional header fields, each with its line end.
func InvalidStatuses(field string) map[string]string {
	const (
		empty = "Content-Length: 0\r\n\r\n"
		short = "Content-Length: 2\r\n\r\nok"
	)
	return map[string]string{
		"000, bare":                   "HTTP/1.1 000\r\n\r\n",
		"000, empty":                  "HTTP/1.1 000 Zero\r\n" + field + empty,
		"000 with a body":             "HTTP/1.1 000 Zero\r\n" + field + short,
		"000, then a whole answer":    "HTTP/1.1 000 Zero\r\n" + field + empty + "HTTP/1.1 200 OK\r\n" + field + short,
		"+20":                         "HTTP/1.1 +20 Plus\r\n" + field + empty,
		"099":                         "HTTP/1.1 099 Low\r\n" + field + empty,
		"-01":                         "HTTP/1.1 -01 Minus\r\n" + field + empty,
		"0200":                        "HTTP/1.1 0200 Long\r\n" + field + short,
		"600":                         "HTTP/1.1 600 High\r\n" + field + short,
		"999":                         "HTTP/1.1 999 High\r\n" + field + empty,
		"101 without an upgrade":      "HTTP/1.1 101 Switching Protocols\r\n" + field + empty,
		"101 with an upgrade":         "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + field + "\r\n",
		"000 after an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 Zero\r\n" + field + short,
	}
}

// InvalidFields returns by name answers to a GET with a field whose name or value is not valid.
// Field holds additional header fields, each with its line end.
func InvalidFields(field string) map[string]string {
	const (
		short  = "Content-Length: 2\r\n\r\nok"
		chunks = "2\r\nok\r\n0\r\n"
	)
	head := "HTTP/1.1 200 OK\r\n" + field
	return map[string]string{
		"blank within a name":                head + "X Y: z\r\n" + short,
		"blank before the colon":             head + "X-Y : z\r\n" + short,
		"tab before the colon":               head + "X-Y\t: z\r\n" + short,
		"blank before the length's colon":    head + "Content-Length : 2\r\n\r\nok and more",
		"blank before the coding's colon":    head + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"the same beside a length":           head + "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n" + chunks + "\r\n",
		"the same beside a length of 0":      head + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + chunks + "\r\n",
		"blank within a name, no body":       head + "X Y: z\r\nContent-Length: 0\r\n\r\n",
		"blank in an interim answer":         "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + head + short,
		"blank in the second interim answer": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Y : z\r\n\r\n" + head + short,
		"control byte in a name":             head + "X\x01Y: z\r\n" + short,
		"NUL in a name":                      head + "X\x00Y: z\r\n" + short,
		"DEL in a name":                      head + "X\x7fY: z\r\n" + short,
		"8-bit byte in a name":               head + "X\xe9Y: z\r\n" + short,
		"empty name":                         head + ": z\r\n" + short,
		"no colon":                           head + "XY\r\n" + short,
		"control byte in a value":            head + "X-Y: a\x01z\r\n" + short,
		"NUL in a value":                     head + "X-Y: a\x00z\r\n" + short,
	}
}

// InvalidTrailers is InvalidFields for the trailer behind a body.
func InvalidTrailers(field string) map[string]string {
	body := "HTTP/1.1 200 OK\r\n" + field + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	return map[string]string{
		"blank within a trailer's name":     body + "X Y: z\r\n\r\n",
		"blank before the colon, trailer":   body + "X-Y : z\r\n\r\n",
		"blank in a trailer, announced":     strings.Replace(body, "\r\n\r\n", "\r\nTrailer: X Y\r\n\r\n", 1) + "X Y: z\r\n\r\n",
		"control byte in a trailer's name":  body + "X\x01Y: z\r\n\r\n",
		"control byte in a trailer's value": body + "X-Y: a\x01z\r\n\r\n",
	}
}

// UnusualAnswers returns by name whole answers that few backend servers send, but that are
// valid or that a recipient may accept. Field holds additional header fields, each with its line
// end.
func UnusualAnswers(field string) map[string]Whole {
	const short = "Content-Length: 2\r\n\r\nok"
	head := "HTTP/1.1 200 OK\r\n" + field
	get := func(text string) Whole { return Whole{Method: http.MethodGet, Text: text} }
	return map[string]Whole{
		"HTTP/1.0":                   get("HTTP/1.0 200 OK\r\n" + field + short),
		"HTTP/1.0, to the end":       {Method: http.MethodGet, Text: "HTTP/1.0 200 OK\r\n" + field + "\r\nok", Unframed: true},
		"HTTP/1.9":                   get("HTTP/1.9 200 OK\r\n" + field + short),
		"control byte in the reason": get("HTTP/1.1 200 O\x01K\r\n" + field + short),
		"no reason":                  get("HTTP/1.1 200 \r\n" + field + short),
		"no reason and no blank":     get("HTTP/1.1 200\r\n" + field + short),
		"long reason":                get("HTTP/1.1 200 All is well: \xe9\r\n" + field + short),
		"unassigned status":          get("HTTP/1.1 599 Odd\r\n" + field + short),
		"empty value":                get(head + "X-Y:\r\n" + short),
		"odd name":                   get(head + "x!#$%&'*+-.^_`|~9: z\r\n" + short),
		"lower case":                 get("HTTP/1.1 200 OK\r\n" + field + "content-length: 2\r\n\r\nok"),
		"8-bit value, tab":           get(head + "X-Y: \xe9\t\xff\r\n" + short),
		"no blank after colons":      get(head + "X-Y:z\r\nContent-Length:2\r\n\r\nok"),
		"blanks around values":       get(head + "X-Y: \t z \t\r\nContent-Length:   2  \r\n\r\nok"),
		"folded value":               get(head + "X-Y: a\r\n b\r\n" + short),
		"lines ended by LF":          get("HTTP/1.1 200 OK\n" + field + "Content-Length: 2\n\nok"),
		"length twice":               get(head + "Content-Length: 2\r\n" + short),
		"length beside chunks":       get(head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		"trailer, not announced":     get(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx!#$: 1\r\n\r\n"),
		"trailer, only announced":    get(head + "Transfer-Encoding: chunked\r\nTrailer: Sum, X Y\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		"interim answers":            get("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 104 Odd\r\n\r\n" + head + short),
		"not modified, HEAD":         {Method: http.MethodHead, Text: "HTTP/1.1 304 Not Modified\r\n" + field + "Content-Length: 2\r\n\r\n"},
		"not modified":               get("HTTP/1.1 304 Not Modified\r\n" + field + "\r\n"),
		"no content":                 get("HTTP/1.1 204 No Content\r\n" + field + "\r\n"),
		"chunk extension, capital":   get(head + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n"),
	}
}

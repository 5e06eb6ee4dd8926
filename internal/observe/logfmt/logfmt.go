// Package logfmt makes loggers that write one line of key=value pairs for each
// event.
package logfmt

import (
	"io"
	"log/slog"
)

// New returns a logger that writes events of the given level and above to w. An
// error is written as its text, without the stack that it may carry.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: flatten}))
}

func flatten(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// Package logfmt makes loggers that write each record as one line of key=value pairs.
package logfmt

import (
	"io"
	"log/slog"
)

// New returns a logger that writes records of the given level and above to w. An
// error is written as its message, without the stack trace that it may carry.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: errorText}))
}

func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

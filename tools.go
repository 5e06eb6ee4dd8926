//go:build tools

package snipefront

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/gorilla/mux"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/twitchtv/twirp"
	_ "go.uber.org/fx"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)

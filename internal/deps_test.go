// Keeps the declared libraries in go.mod until each package that uses them exists.
package internal

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/pkg/errors"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/tailscale/hujson"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)

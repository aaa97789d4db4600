package entry

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// errMessageTooLong is returned for a compressed message whose text exceeds MaxMessageBytes.
var errMessageTooLong = errors.Errorf("message has more than %d bytes", MaxMessageBytes)

// decompressor decompresses one gzip message at a time, up to one byte more than a message
// may have. Without this limit, connect decompresses the rest of a message that is too long
// to report its length.
type decompressor struct {
	gzip.Reader
	left int
}

// newDecompressor returns a decompressor, which must be Reset before use.
func newDecompressor() connect.Decompressor { return new(decompressor) }

// newCompressor returns a compressor, which must be Reset before use.
func newCompressor() connect.Compressor { return gzip.NewWriter(io.Discard) }

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(r io.Reader) error {
	d.left = MaxMessageBytes + 1
	return d.Reader.Reset(r)
}

// Read implements connect.Decompressor.
func (d *decompressor) Read(p []byte) (int, error) {
	if d.left == 0 {
		return 0, errMessageTooLong
	}
	n, err := d.Reader.Read(p[:min(len(p), d.left)])
	d.left -= n
	return n, err
}

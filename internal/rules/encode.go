package rules

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// MaxTextBytes is the maximum length of an uncompressed document, in bytes.
const MaxTextBytes = 8 << 20

// ErrTooLong is returned for a document longer than MaxTextBytes.
var ErrTooLong = errors.New("rules: the document is longer than 8 MiB")

// gzipMagic is the prefix of a compressed value.
var gzipMagic = []byte{0x1f, 0x8b}

// Decode returns the document text of a value from the configuration service. The
// value is either the text itself or its gzip form. Decode returns ErrTooLong if the
// text is longer than MaxTextBytes, without decompressing the rest. The text may share
// memory with the value.
func Decode(value []byte) (text []byte, err error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		if len(value) > MaxTextBytes {
			return nil, ErrTooLong
		}
		return value, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "rules: open compressed document")
	}
	text, err = io.ReadAll(io.LimitReader(reader, MaxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "rules: read compressed document")
	}
	if len(text) > MaxTextBytes {
		return nil, ErrTooLong
	}
	return text, nil
}

// Encode returns the text compressed with gzip, as accepted by Decode.
func Encode(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(text); err != nil {
		return nil, errors.Wrap(err, "rules: compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "rules: compress document")
	}
	return buffer.Bytes(), nil
}

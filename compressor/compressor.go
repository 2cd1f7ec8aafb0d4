package compressor

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// minBytes is the size in bytes from which a value is compressed; smaller ones fit into a few packets.
	minBytes = 4096
	// maxBytes is the maximum size in bytes of a decompressed value, well above the largest record of the store.
	maxBytes = 16 << 20
)

// Compressor compresses values and caches the newest result of each key; it is safe for concurrent use.
type Compressor struct {
	mux   sync.Mutex
	cache map[string]result
}

// result is the outcome of the compression of a value; data is nil if the value did not become smaller.
type result struct {
	value []byte
	data  []byte
}

// New returns a compressor with an empty cache.
func New() *Compressor {
	return &Compressor{cache: map[string]result{}}
}

// Compress returns the compressed value of the record with the given key; ok is false if the value should be sent as it is. The value must not be changed later.
func (com *Compressor) Compress(key string, value []byte) (data []byte, ok bool) {
	if len(value) < minBytes {
		return nil, false
	}
	com.mux.Lock()
	defer com.mux.Unlock()
	res, cached := com.cache[key]
	// Values are compared since a store that came back from an older copy gives its offsets out again. That of the same record is the same slice.
	if !cached || !bytes.Equal(res.value, value) {
		res = result{value: value, data: compress(value)}
		com.cache[key] = res
	}
	return res.data, res.data != nil
}

func compress(value []byte) []byte {
	var buf bytes.Buffer
	wtr, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		_, err = wtr.Write(value)
	}
	if err == nil {
		err = wtr.Close()
	}
	if err != nil || buf.Len() >= len(value) {
		return nil
	}
	return buf.Bytes()
}

// Decompress returns the value that Compress was given; it fails with errors.NotValid.
func Decompress(data []byte) ([]byte, error) {
	rea := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = rea.Close() }()
	out, err := io.ReadAll(io.LimitReader(rea, maxBytes+1))
	if err != nil {
		return nil, errors.NewNotValid(err, "compressor: decompress value")
	}
	if len(out) > maxBytes {
		return nil, errors.NotValidf("compressor: value of more than %d bytes", maxBytes)
	}
	return out, nil
}

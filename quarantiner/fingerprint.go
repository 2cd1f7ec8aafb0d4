package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The seeds of the two halves of a fingerprint.
const (
	seedHigh = 0x6c6f76616765
	seedLow  = 0x6c65766572
)

// Fingerprint names a request by its workspace, model and content, whatever its ID; it is 128 bits in hex.
func Fingerprint(workspace, model string, content []byte) string {
	var out [16]byte
	binary.BigEndian.PutUint64(out[:8], sum(seedHigh, workspace, model, content))
	binary.BigEndian.PutUint64(out[8:], sum(seedLow, workspace, model, content))
	return hex.EncodeToString(out[:])
}

func sum(seed uint64, workspace, model string, content []byte) uint64 {
	dig := xxhash.NewWithSeed(seed)
	for _, part := range []string{workspace, model} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = dig.Write(size[:])
		_, _ = dig.WriteString(part)
	}
	_, _ = dig.Write(content)
	return dig.Sum64()
}

// CrashID names one crash of a unit: the unit, its fence and the start of the engine that crashed.
func CrashID(unit string, fence int64, started string) string {
	return unit + "/" + strconv.FormatInt(fence, 10) + "/" + started
}

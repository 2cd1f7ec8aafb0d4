package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Hash seeds of the two halves of a fingerprint.
const (
	hashSeedHigh = 0x6c6f76616765
	hashSeedLow  = 0x6c65766572
)

// Fingerprint identifies a request by its workspace, model and content, independent of its ID; the result is a 128-bit hash in hex.
func Fingerprint(workspace, model string, content []byte) string {
	var out [16]byte
	binary.BigEndian.PutUint64(out[:8], hash64(hashSeedHigh, workspace, model, content))
	binary.BigEndian.PutUint64(out[8:], hash64(hashSeedLow, workspace, model, content))
	return hex.EncodeToString(out[:])
}

// hash64 writes the length before each string, so that different splits of the same bytes have different hashes.
func hash64(seed uint64, workspace, model string, content []byte) uint64 {
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

// CrashID identifies one crash of a unit by the unit, its fence and the start of the engine that crashed.
func CrashID(unit string, fence int64, started string) string {
	return unit + "/" + strconv.FormatInt(fence, 10) + "/" + started
}

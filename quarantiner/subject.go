package quarantiner

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// MaxParts is the maximum number of parts of one prompt that count as subjects.
const MaxParts = 32

// partPrefix tells the subjects of parts from the fingerprints of requests, which are hexadecimal.
const partPrefix = "part-"

// Part returns the subject that identifies a part of a prompt by its ID or its content.
func Part(content []byte) string {
	var out [8]byte
	binary.BigEndian.PutUint64(out[:], hash64(hashSeedHigh, "", "", content))
	return partPrefix + hex.EncodeToString(out[:])
}

// IsPart reports whether a subject is a part of a prompt; otherwise it is the fingerprint of a request.
func IsPart(sub string) bool {
	return strings.HasPrefix(sub, partPrefix)
}

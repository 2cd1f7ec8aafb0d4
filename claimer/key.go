package claimer

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Limits of an idempotency key, in bytes.
const (
	MaxKeyText   = 128
	MaxKeyPrefix = 256
	uuidLength   = 36
)

// Key is a parsed idempotency key; Text is its one canonical spelling.
type Key struct {
	Text        string
	Logged      bool
	IssuedMS    int64
	Name        string
	Incarnation string
	Window      int64
}

// ParseKey reads an issued key or a version 7 UUID; it fails with a Refusal of kind KindInvalid.
func ParseKey(text string) (Key, error) {
	prefix, rest, issued := strings.Cut(text, "/")
	if issued {
		return parseIssued(prefix, rest)
	}
	return parseLogged(text)
}

func parseLogged(text string) (Key, error) {
	if len(text) != uuidLength {
		return Key{}, refuse(KindInvalid, "the key is neither an issued key nor a version 7 UUID")
	}
	uid, err := uuid.Parse(text)
	if err != nil || uid.Version() != 7 || uid.Variant() != uuid.RFC4122 {
		return Key{}, refuse(KindInvalid, "the key is not a version 7 UUID")
	}
	issued := int64(binary.BigEndian.Uint64(uid[:8]) >> 16)
	return Key{Text: uid.String(), Logged: true, IssuedMS: issued}, nil
}

func parseIssued(prefix, rest string) (Key, error) {
	if len(rest) == 0 || len(rest) > MaxKeyText || !plain(rest, "-_") {
		return Key{}, refuse(KindInvalid, "the key's own part must be 1 to 128 letters, digits, - or _")
	}
	head, win, found := cutLast(prefix)
	name, inc, also := cutLast(head)
	if !found || !also || len(prefix) > MaxKeyPrefix || !plain(name, "-_.") || !plain(inc, "-_") {
		return Key{}, refuse(KindInvalid, "the key's prefix is not one that was issued")
	}
	num, err := strconv.ParseInt(win, 10, 64)
	if err != nil || num < 0 || strconv.FormatInt(num, 10) != win {
		return Key{}, refuse(KindInvalid, "the key's window is not a number")
	}
	return Key{Text: prefix + "/" + rest, Name: name, Incarnation: inc, Window: num}, nil
}

func cutLast(text string) (before, after string, found bool) {
	pos := strings.LastIndexByte(text, '.')
	if pos < 0 {
		return "", text, false
	}
	return text[:pos], text[pos+1:], true
}

func plain(text, marks string) bool {
	for pos := range len(text) {
		chr := text[pos]
		letter := chr >= 'a' && chr <= 'z' || chr >= 'A' && chr <= 'Z'
		digit := chr >= '0' && chr <= '9'
		if !letter && !digit && strings.IndexByte(marks, chr) < 0 {
			return false
		}
	}
	return text != ""
}

package recorder

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// Version is the version of the record format that this program writes; newer records are rejected.
const Version = 1

// Kind is the type of change that a record proposes.
type Kind string

// Kinds of records.
const (
	KindPublication Kind = "publication"
	KindJoin        Kind = "join"
	KindDrain       Kind = "drain"
	KindLeave       Kind = "leave"
	KindEvict       Kind = "evict"
	KindForm        Kind = "form"
	KindQuiesce     Kind = "quiesce"
	KindRetire      Kind = "retire"
	KindClaims      Kind = "claims"
	KindCondemn     Kind = "condemn"
	KindSnapshot    Kind = "snapshot"
)

// Known reports whether kind is one of the Kind constants.
func Known(kind Kind) bool {
	switch kind {
	case KindPublication, KindJoin, KindDrain, KindLeave, KindEvict, KindForm, KindQuiesce, KindRetire, KindClaims, KindCondemn, KindSnapshot:
		return true
	default:
		return false
	}
}

// Record is one proposal in the log; its ID is a version 7 UUID, and further copies of the same ID have no effect.
type Record struct {
	ID      string          `json:"id"`
	Kind    Kind            `json:"kind"`
	Version int             `json:"version"`
	Writer  string          `json:"writer"`
	Body    json.RawMessage `json:"body"`
}

// Entry is a record with its offset in the log and the time at which the log service appended it.
type Entry struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Record Record    `json:"record"`
}

// New returns a record with a new ID for the time now; writer is an incarnation and may be empty.
func New(now time.Time, kind Kind, writer string, body any) (Record, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Record{}, errors.Annotate(err, "recorder: encode body")
	}
	id, err := newID(now)
	if err != nil {
		return Record{}, errors.Annotate(err, "recorder: generate ID")
	}
	return Record{ID: id, Kind: kind, Version: Version, Writer: writer, Body: data}, nil
}

// newID returns a version 7 UUID: a 48-bit Unix time in milliseconds followed by random bits.
func newID(now time.Time) (string, error) {
	uid, err := uuid.NewRandom()
	if err != nil {
		return "", err
	}
	var millis [8]byte
	binary.BigEndian.PutUint64(millis[:], uint64(now.UnixMilli()))
	copy(uid[:6], millis[2:])
	uid[6] = 0x70 | uid[6]&0x0f
	return uid.String(), nil
}

// Decode decodes the body of a record into a T; it returns errors.NotValid if the body is malformed.
func Decode[T any](rec Record) (T, error) {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return body, errors.NewNotValid(err, "recorder: decode body of "+string(rec.Kind))
	}
	return body, nil
}

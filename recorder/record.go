package recorder

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// Version is the version of the records that this program writes.
const Version = 1

// Kind names what a record proposes.
type Kind string

// The kinds of record.
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

// Known reports whether this program knows a kind of record.
func Known(kind Kind) bool {
	switch kind {
	case KindPublication, KindJoin, KindDrain, KindLeave, KindEvict, KindForm, KindQuiesce, KindRetire, KindClaims, KindCondemn, KindSnapshot:
		return true
	default:
		return false
	}
}

// Record is one proposal in the log; its ID is a version 7 UUID and a second copy changes nothing.
type Record struct {
	ID      string          `json:"id"`
	Kind    Kind            `json:"kind"`
	Version int             `json:"version"`
	Writer  string          `json:"writer"`
	Body    json.RawMessage `json:"body"`
}

// Entry is a record at its offset in the log, with the log service's time of the append.
type Entry struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Record Record    `json:"record"`
}

// New makes a record of kind with a fresh ID of the time now; writer is an incarnation and may be empty.
func New(now time.Time, kind Kind, writer string, body any) (Record, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Record{}, errors.Annotate(err, "recorder: encode body")
	}
	id, err := newID(now)
	if err != nil {
		return Record{}, errors.Annotate(err, "recorder: make ID")
	}
	return Record{ID: id, Kind: kind, Version: Version, Writer: writer, Body: data}, nil
}

// newID makes a version 7 UUID: 48 bits of milliseconds, and random bits.
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

// Decode reads the body of a record as a T; it fails with errors.NotValid.
func Decode[T any](rec Record) (T, error) {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return body, errors.NewNotValid(err, "recorder: body of "+string(rec.Kind))
	}
	return body, nil
}

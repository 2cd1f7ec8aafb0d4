package reducer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/recorder"
)

var reassigning = map[recorder.Kind]bool{
	recorder.KindPublication: true,
	recorder.KindJoin:        true,
	recorder.KindDrain:       true,
	recorder.KindLeave:       true,
	recorder.KindEvict:       true,
	recorder.KindForm:        true,
	recorder.KindRetire:      true,
}

// Apply folds the record at the next offset and returns why it is void, or Accepted.
func (sta *State) Apply(ent recorder.Entry) Reason {
	if ent.Offset <= sta.Offset {
		return ReasonDuplicate
	}
	if ent.Offset != sta.Offset+1 {
		panic("reducer: fold over a gap")
	}
	sta.Offset = ent.Offset
	if ent.At.After(sta.At) {
		sta.At = ent.At
	}
	sta.forget()
	rea := sta.judge(ent)
	if rea == Accepted {
		sta.follow(ent.Record.Kind)
	}
	sta.remember(ent, rea)
	sta.assertWhole()
	return rea
}

// follow brings what is derived up to date after an accepted record; claims and snapshots change nothing that a view shows but its offset.
func (sta *State) follow(kind recorder.Kind) {
	if reassigning[kind] {
		sta.assign()
	}
	if kind != recorder.KindClaims && kind != recorder.KindSnapshot {
		sta.last = nil
	}
}

func (sta *State) judge(ent recorder.Entry) Reason {
	rec := ent.Record
	if rec.Version > recorder.Version {
		return ReasonNewerVersion
	}
	if rec.Kind == recorder.KindClaims {
		return sta.applyClaims(rec)
	}
	if _, seen := sta.Seen[rec.ID]; seen {
		return ReasonDuplicate
	}
	if !sta.inWindow(rec.ID) {
		return ReasonOutsideWindow
	}
	return sta.applyKind(rec)
}

func (sta *State) applyKind(rec recorder.Record) Reason {
	switch rec.Kind {
	case recorder.KindPublication:
		return withBody(rec, sta.applyPublication)
	case recorder.KindJoin:
		return withBody(rec, sta.applyJoin)
	case recorder.KindDrain:
		return withBody(rec, sta.applyDrain)
	case recorder.KindLeave:
		return withBody(rec, sta.applyLeave)
	case recorder.KindEvict:
		return withBody(rec, func(dep recorder.Departure) Reason { return sta.applyEvict(rec.Writer, dep) })
	case recorder.KindForm:
		return withBody(rec, func(frm recorder.Form) Reason { return sta.applyForm(rec.Writer, frm) })
	case recorder.KindQuiesce:
		return withBody(rec, func(qui recorder.Quiesce) Reason { return sta.applyQuiesce(rec.Writer, qui) })
	case recorder.KindRetire:
		return withBody(rec, func(ret recorder.Retire) Reason { return sta.applyRetire(rec.Writer, ret) })
	case recorder.KindCondemn:
		return withBody(rec, func(con recorder.Condemn) Reason { return sta.applyCondemn(rec.Writer, con) })
	case recorder.KindSnapshot:
		sta.SnapshotAt = sta.Offset
		return Accepted
	default:
		return ReasonUnknownKind
	}
}

func withBody[T any](rec recorder.Record, apply func(T) Reason) Reason {
	body, err := recorder.Decode[T](rec)
	if err != nil {
		return ReasonMalformed
	}
	return apply(body)
}

func (sta *State) inWindow(id string) bool {
	uid, err := uuid.Parse(id)
	if err != nil || uid.Version() != 7 {
		return false
	}
	sec, nsec := uid.Time().UnixTime()
	age := sta.At.Sub(time.Unix(sec, nsec))
	return age < IDWindow && age > -IDWindow
}

func (sta *State) remember(ent recorder.Entry, rea Reason) {
	rec := ent.Record
	sta.chain(rec.ID, rea)
	if rea != Accepted {
		sta.Counts["void/"+string(rea)]++
		sta.Voids = append(sta.Voids, Void{Offset: ent.Offset, ID: rec.ID, Kind: rec.Kind, Writer: rec.Writer, Reason: rea})
		if len(sta.Voids) > MaxVoids {
			sta.Voids = append([]Void{}, sta.Voids[len(sta.Voids)-MaxVoids:]...)
		}
	} else {
		sta.Counts[string(rec.Kind)]++
	}
	if rec.Kind == recorder.KindClaims || rea == ReasonDuplicate {
		return
	}
	see := Seen{Offset: ent.Offset, At: sta.At, Reason: rea}
	if rec.Kind == recorder.KindPublication && rea == Accepted {
		see.Revision = sta.Revision
	}
	sta.Seen[rec.ID] = see
	sta.order.push(sta.At, rec.ID)
}

func (sta *State) chain(id string, rea Reason) {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], sta.Chain)
	binary.LittleEndian.PutUint64(head[8:], uint64(sta.Offset))
	dig := xxhash.New()
	_, _ = dig.Write(head[:])
	_, _ = dig.WriteString(id)
	_, _ = dig.WriteString(string(rea))
	sta.Chain = dig.Sum64()
}

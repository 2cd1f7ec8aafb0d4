package reducer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/recorder"
)

// changesDuties holds the kinds of records after which duties and homes are assigned again.
var changesDuties = map[recorder.Kind]bool{
	recorder.KindPublication: true,
	recorder.KindJoin:        true,
	recorder.KindDrain:       true,
	recorder.KindLeave:       true,
	recorder.KindEvict:       true,
	recorder.KindForm:        true,
	recorder.KindRetire:      true,
}

// Apply applies the record at the next offset and returns why it is rejected, or Accepted; it panics if an offset is skipped.
func (sta *State) Apply(ent recorder.Entry) Reason {
	if ent.Offset <= sta.Offset {
		return ReasonDuplicate
	}
	if ent.Offset != sta.Offset+1 {
		panic("reducer: offset of the record is not the next one")
	}
	sta.Offset = ent.Offset
	if ent.At.After(sta.At) {
		sta.At = ent.At
	}
	sta.removeExpired()
	rea := sta.applyRecord(ent)
	if rea == Accepted {
		sta.updateDerived(ent.Record.Kind)
	}
	sta.recordOutcome(ent, rea)
	sta.assertInvariants()
	return rea
}

// updateDerived updates the duties and the cached view after an accepted record.
// Claims and snapshots change only the parts of a view that are never cached, so the cache stays valid.
func (sta *State) updateDerived(kind recorder.Kind) {
	if changesDuties[kind] {
		sta.assignAll()
	}
	if kind != recorder.KindClaims && kind != recorder.KindSnapshot {
		sta.cachedView = nil
	}
}

func (sta *State) applyRecord(ent recorder.Entry) Reason {
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
	if !sta.inIDWindow(rec.ID) {
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
		return withBody(rec, func(frm recorder.FormGroup) Reason { return sta.applyForm(rec.Writer, frm) })
	case recorder.KindQuiesce:
		return withBody(rec, func(qui recorder.QuiesceGroup) Reason { return sta.applyQuiesce(rec.Writer, qui) })
	case recorder.KindRetire:
		return withBody(rec, func(ret recorder.RetireGroup) Reason { return sta.applyRetire(rec.Writer, ret) })
	case recorder.KindCondemn:
		return withBody(rec, func(con recorder.Condemn) Reason { return sta.applyCondemn(rec.Writer, con) })
	case recorder.KindSnapshot:
		sta.SnapshotOffset = sta.Offset
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

func (sta *State) inIDWindow(id string) bool {
	uid, err := uuid.Parse(id)
	if err != nil || uid.Version() != 7 {
		return false
	}
	sec, nsec := uid.Time().UnixTime()
	age := sta.At.Sub(time.Unix(sec, nsec))
	return age < IDWindow && age > -IDWindow
}

func (sta *State) recordOutcome(ent recorder.Entry, rea Reason) {
	rec := ent.Record
	sta.updateChain(rec.ID, rea)
	if rea != Accepted {
		sta.Counts["void/"+string(rea)]++
		sta.RejectedRecords = append(sta.RejectedRecords, RejectedRecord{Offset: ent.Offset, ID: rec.ID, Kind: rec.Kind, Writer: rec.Writer, Reason: rea})
		if len(sta.RejectedRecords) > MaxRejectedRecords {
			sta.RejectedRecords = append([]RejectedRecord{}, sta.RejectedRecords[len(sta.RejectedRecords)-MaxRejectedRecords:]...)
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
	sta.seenOrder.push(sta.At, rec.ID)
}

func (sta *State) updateChain(id string, rea Reason) {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], sta.ChainHash)
	binary.LittleEndian.PutUint64(head[8:], uint64(sta.Offset))
	dig := xxhash.New()
	_, _ = dig.Write(head[:])
	_, _ = dig.WriteString(id)
	_, _ = dig.WriteString(string(rea))
	sta.ChainHash = dig.Sum64()
}

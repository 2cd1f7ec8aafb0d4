package tailer

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// maxVersions is how many earlier versions of a key are remembered. The store loses seconds at most, in which a key hardly changes more often.
const maxVersions = 16

// version identifies a value of a key at an offset.
type version struct {
	offset int64
	hash   uint64
}

func versionOf(rec Record) version {
	return version{offset: rec.Offset, hash: xxhash.Sum64(rec.Value)}
}

// store makes a record the newest one of its key, and remembers the version that it replaces.
func (tai *Tailer) store(rec Record, now time.Time) {
	old, have := tai.newest[rec.Key]
	sto := storedRecord{Record: rec, at: now}
	if have {
		sto.earlier = append(slices.Clone(old.earlier), versionOf(old.Record))
		sto.earlier = sto.earlier[max(0, len(sto.earlier)-maxVersions):]
	}
	tai.newest[rec.Key] = sto
}

// take stores a record if it is newer than the one of its key, and reports whether it is.
func (tai *Tailer) take(rec Record, full bool, now time.Time) bool {
	old, have := tai.newest[rec.Key]
	if !have || old.replacedBy(rec, full) {
		tai.store(rec, now)
		return true
	}
	if old.Era < rec.Era {
		old.older = &rec
		tai.newest[rec.Key] = old
	}
	return false
}

// replacedBy reports whether a record of the same era or a later one is newer than the stored one. A record of a later era is not when it is an earlier version of the key, which the store has from its copy.
func (sto storedRecord) replacedBy(rec Record, full bool) bool {
	if sto.Era == rec.Era {
		return full || sto.Offset < rec.Offset
	}
	return sto.Era < rec.Era && (bytes.Equal(sto.Value, rec.Value) || !slices.Contains(sto.earlier, versionOf(rec)))
}

// beginEra takes over the records of a store that came back from an older copy, and returns the change to all keys. Records that the copy lacks, or has an earlier version of, are kept until they are written again.
func (tai *Tailer) beginEra(pag Page, now time.Time) Change {
	before, endBefore := tai.era, tai.end
	tai.era, tai.end, tai.eraBegan, tai.outageEnd = pag.Era, pag.End, now, now
	tai.removalsFrom = pag.End
	for key, sto := range tai.newest {
		sto.older = nil
		tai.newest[key] = sto
	}
	for _, rec := range pag.Records {
		if rec.Key != "" {
			tai.take(rec, false, now)
		}
	}
	tai.takeOlder(pag)
	cha := Change{Full: true, Outage: true, NewEra: true, Source: pag.Source}
	for key, sto := range tai.newest {
		if sto.Value == nil {
			continue
		}
		cha.Records = append(cha.Records, sto.Record)
		if sto.Era < tai.era {
			cha.Unwritten = append(cha.Unwritten, key)
		}
	}
	slices.Sort(cha.Unwritten)
	tai.opt.Logger.WithFields(logrus.Fields{
		"topic": tai.opt.Topic, "era_before": before, "end_before": endBefore, "era": pag.Era, "end": pag.End, "unwritten": len(cha.Unwritten),
	}).Warn("the store came back from an older copy")
	return cha
}

// takeOlder stores what the store has instead of records of earlier eras.
func (tai *Tailer) takeOlder(pag Page) {
	for _, rec := range pag.Older {
		if sto, have := tai.newest[rec.Key]; have && sto.Era < rec.Era {
			sto.older = &rec
			tai.newest[rec.Key] = sto
		}
	}
}

// hasUnwritten reports whether records were lost with an older copy of the store and have not been written again.
func (tai *Tailer) hasUnwritten() bool {
	for _, sto := range tai.newest {
		if sto.Era < tai.era {
			return true
		}
	}
	return false
}

// expireUnwritten replaces the records that have not been written again in time since the era began by what the store has.
func (tai *Tailer) expireUnwritten() {
	tai.mux.Lock()
	due := !tai.eraBegan.IsZero() && tai.opt.Clock.Since(tai.eraBegan) >= tai.opt.UnwrittenTTL
	var cha Change
	if due {
		tai.eraBegan = time.Time{}
		for key, sto := range tai.newest {
			if sto.Era == tai.era {
				continue
			}
			delete(tai.newest, key)
			if sto.older != nil {
				tai.store(*sto.older, tai.opt.Clock.Now())
				cha.Records = append(cha.Records, *sto.older)
			} else if sto.Value != nil {
				cha.Records = append(cha.Records, Record{Key: key, Era: tai.era, Offset: sto.Offset})
			}
		}
	}
	tai.mux.Unlock()
	if len(cha.Records) > 0 {
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "records": len(cha.Records)}).Warn("records lost by the store were not written again")
		tai.opt.OnChange(cha)
	}
}

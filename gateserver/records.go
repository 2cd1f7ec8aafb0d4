package gateserver

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

// onOperator applies the operator's records: configurations, and which availability zones are out.
func (gat *Server) onOperator(cha tailer.Change) {
	if cha.Full {
		gat.zonesOut.Clear()
	}
	if cha.NewEra {
		gat.mtr.RecordNewEra()
	}
	for _, rec := range cha.Records {
		ope, err := gat.pla.DecodeOperatorRecord(rec)
		if err != nil {
			gat.log.WithError(err).WithFields(logrus.Fields{"key": rec.Key, "offset": rec.Offset}).Warn("record of the operator cannot be read, the last one stays in force")
			continue
		}
		if ope.Config != nil {
			gat.takeConfig(*ope.Config, rec, cha.Source)
		}
		if ope.Zone != "" {
			gat.zonesOut.Store(ope.Zone, ope.ZoneOut)
			gat.log.WithFields(logrus.Fields{"availability_zone": ope.Zone, "out": ope.ZoneOut}).Info("availability zone switched")
		}
	}
	out := map[string]bool{}
	gat.zonesOut.Range(func(zone, isOut any) bool {
		if isOut.(bool) {
			out[zone.(string)] = true
		}
		return true
	})
	gat.reg.SetZonesOut(out)
}

// takeConfig puts a configuration in force that a source has told, the store if it is empty.
func (gat *Server) takeConfig(cfg router.Config, rec tailer.Record, source string) {
	if old := gat.tab.Load(); old != nil && old.Version >= cfg.Version {
		if old.Version > cfg.Version {
			gat.log.WithFields(logrus.Fields{
				"config_version": old.Version, "ignored_version": cfg.Version, "source": sourceName(source), "era": rec.Era, "offset": rec.Offset,
			}).Warn("configuration of a lower version ignored")
		}
		return
	}
	tab, err := router.New(cfg)
	if err != nil {
		gat.log.WithError(err).WithField("config_version", cfg.Version).Warn("configuration refused, the last one stays in force")
		return
	}
	gat.tab.Store(tab)
	gat.mtr.RecordConfigAge(rec.KnownFor)
	gat.log.WithFields(logrus.Fields{
		"config_version": cfg.Version, "routes": len(cfg.Routes), "workspaces": len(cfg.Workspaces),
		"source": sourceName(source), "era": rec.Era, "offset": rec.Offset, "known_for_ms": rec.KnownFor.Milliseconds(),
	}).Info("configuration in force")
}

// sourceName returns the name of the source of a record for log lines.
func sourceName(entry string) string {
	return cmp.Or(entry, "store")
}

// onServers applies changes to the list of backend servers.
func (gat *Server) onServers(cha tailer.Change) {
	now := gat.clk.Now()
	if !cha.Returned.IsZero() {
		gat.reg.StoreReturned(cha.Returned)
	}
	list := map[string]registrar.Server{}
	var unusable registrar.Change
	upd := registrar.Change{KnownFor: map[string]time.Duration{}}
	for _, rec := range newestOfEach(cha.Records) {
		if len(rec.Value) == 0 {
			gat.unusable.Delete(rec.Key)
			upd.Remove = append(upd.Remove, rec.Key)
			upd.KnownFor[rec.Key] = rec.KnownFor
			continue
		}
		ser, err := gat.pla.DecodeServer(rec, now)
		if err != nil {
			gat.noteUnusable(rec, err)
			unusable.Remove = append(unusable.Remove, rec.Key)
			continue
		}
		gat.unusable.Delete(rec.Key)
		list[ser.ID] = ser
		upd.Put = append(upd.Put, ser)
	}
	if len(unusable.Remove) > 0 {
		gat.reg.Apply(unusable)
	}
	if cha.Full {
		gat.log.WithField("servers", len(list)).Info("list of backend servers read")
		gat.reg.Replace(list, cha.Outage)
		return
	}
	upd.Outage = cha.Outage
	gat.logServers(upd)
	gat.reg.Apply(upd)
}

// newestOfEach returns the last record of each key, in their order.
func newestOfEach(list []tailer.Record) []tailer.Record {
	last := map[string]int{}
	for num, rec := range list {
		last[rec.Key] = num
	}
	out := make([]tailer.Record, 0, len(last))
	for num, rec := range list {
		if last[rec.Key] == num {
			out = append(out, rec)
		}
	}
	return out
}

// maxCauseBytes bounds what is logged of why a record cannot be used: the error may quote the record.
const maxCauseBytes = 300

// noteUnusable logs a record of a backend server that cannot be used, unless it was logged before: servers write theirs again with each heartbeat.
func (gat *Server) noteUnusable(rec tailer.Record, err error) {
	cause := err.Error()
	cause = cause[:min(len(cause), maxCauseBytes)]
	if old, known := gat.unusable.Swap(rec.Key, cause); known && old == cause {
		return
	}
	gat.log.WithFields(logrus.Fields{"server": rec.Key, "offset": rec.Offset, logrus.ErrorKey: cause}).Warn("record of a backend server cannot be used")
}

// onLeaving marks a backend server that has said in a response that it leaves.
func (gat *Server) onLeaving(ins registrar.Instance) {
	if gat.reg.MarkLeaving(ins) {
		gat.log.WithFields(logrus.Fields{"server": ins.ID, "started": ins.Started}).Info("backend server says that it leaves")
	}
}

// onPause keeps requests away from a backend server that wants none for a while.
func (gat *Server) onPause(ins registrar.Instance, dur time.Duration) {
	log := gat.log.WithFields(logrus.Fields{"server": ins.ID, "started": ins.Started, "pause_ms": dur.Milliseconds()})
	if dur > maxPause {
		log.WithField("limit_ms", maxPause.Milliseconds()).Warn("backend server asks for a pause beyond the limit")
		dur = maxPause
	}
	if gat.dis.Pause(ins, dur) {
		log.Info("backend server asks for a pause")
	}
}

// maxLoggedServers is the number of backend servers up to which a change of the list is logged one by one.
const maxLoggedServers = 8

// logServers logs the backend servers that are new, were restarted, start or stop draining, or are off the list; of many at once only their numbers.
func (gat *Server) logServers(upd registrar.Change) {
	vie := gat.reg.View()
	var changed []registrar.Server
	for _, ser := range upd.Put {
		ser.Draining = ser.Draining || vie.Leaving(ser.Instance())
		if old, known := vie.Servers[ser.ID]; !known || old.Started != ser.Started || old.Draining != ser.Draining {
			changed = append(changed, ser)
		}
	}
	if len(changed)+len(upd.Remove) > maxLoggedServers {
		gat.log.WithFields(logrus.Fields{"changed": len(changed), "removed": len(upd.Remove), "outage": upd.Outage}).Info("many backend servers changed on the list")
		return
	}
	for _, ser := range changed {
		gat.log.WithFields(logrus.Fields{"server": ser.ID, "address": ser.Address, "draining": ser.Draining, "started": ser.Started}).Info("backend server on the list")
	}
	for _, id := range upd.Remove {
		gat.log.WithFields(logrus.Fields{"server": id, "outage": upd.Outage}).Info("backend server off the list")
	}
}

// onEntries applies the registrations of entries.
func (gat *Server) onEntries(cha tailer.Change) {
	if gat.lostRegistration(cha) {
		select {
		case gat.unregistered <- struct{}{}:
		default:
		}
	}
	if cha.Full {
		gat.removeUnlisted(cha.Records)
	}
	for _, rec := range cha.Records {
		if rec.Key == gat.set.Name {
			continue
		}
		if len(rec.Value) == 0 {
			gat.adv.Remove(rec.Key)
			continue
		}
		ent, err := decodeEntry(rec)
		if err != nil {
			gat.log.WithError(err).WithField("entry", rec.Key).Warn("registration of an entry cannot be read")
			continue
		}
		gat.adv.Put(ent)
	}
	gat.shareLimits()
}

// decodeEntry decodes the registration of an entry; it fails with errors.NotValid.
func decodeEntry(rec tailer.Record) (advertiser.Entry, error) {
	var ent advertiser.Entry
	if err := json.Unmarshal(rec.Value, &ent); err != nil {
		return ent, errors.NewNotValid(err, "gateserver: registration")
	}
	if ent.Name != rec.Key {
		return ent, errors.NotValidf("gateserver: registration of %q", ent.Name)
	}
	return ent, nil
}

// listDelay is how long after a registration a complete list may still lack it.
const listDelay = 5 * time.Second

// maxContests is how often an entry replaces registrations of a higher incarnation with its own addresses: the process before it has only a few writes outstanding, any more are of a process that runs.
const maxContests = 3

// registration is where in the topic and when the store has accepted a registration of this entry.
type registration struct {
	era, offset int64
	at          time.Time
}

// listing is where the topic has the newest record under the name of this entry, or from which era on it has none, and whether it should have another one.
type listing struct {
	era, offset int64
	wrong       bool
}

// isAfter reports whether a listing follows a registration.
func (lis listing) isAfter(reg registration) bool {
	return lis.era > reg.era || lis.era == reg.era && lis.offset > reg.offset
}

// lostRegistration reports whether a change says that the registration of this entry is gone, be it lost with an older copy of the store, deleted late by the process before it, or replaced by that process's.
func (gat *Server) lostRegistration(cha tailer.Change) bool {
	listed := gat.noteListing(cha)
	if gat.stopping.Load() {
		return false
	}
	if slices.Contains(cha.Unwritten, gat.set.Name) {
		return true
	}
	reg := gat.registered.Load()
	if reg == nil {
		return false
	}
	return gat.isReplaced(*reg) || cha.Full && !listed && gat.clk.Since(reg.at) > listDelay
}

// noteListing records what a change says about the registration of this entry, and reports whether it has one.
func (gat *Server) noteListing(cha tailer.Change) bool {
	listed := false
	for _, rec := range cha.Records {
		if rec.Key == gat.set.Name {
			listed = true
			gat.listed.Store(&listing{era: rec.Era, offset: rec.Offset, wrong: gat.isWrong(rec)})
		}
	}
	// A complete list of the same era may be older than the registration.
	if cha.Full && !listed {
		era, _ := gat.tailers[gat.pla.Topics.Entries].End()
		gat.listed.Store(&listing{era: era, wrong: true})
	}
	return listed
}

// isWrong reports whether a record under the name of this entry is not its registration, nor that of another process which may run. At the addresses of this entry no other process runs, whatever the clocks of the two were.
func (gat *Server) isWrong(rec tailer.Record) bool {
	ent, err := decodeEntry(rec)
	if err != nil || ent.Incarnation < gat.self.Incarnation {
		return true
	}
	if ent.Incarnation == gat.self.Incarnation || ent.EntryAddress != gat.self.EntryAddress || ent.CallerAddress != gat.self.CallerAddress {
		return false
	}
	gat.contests++
	return gat.contests <= maxContests
}

// isReplaced reports whether the topic has something else than a registration of this entry, which is not stopping.
func (gat *Server) isReplaced(reg registration) bool {
	lis := gat.listed.Load()
	return lis != nil && lis.wrong && lis.isAfter(reg) && !gat.stopping.Load()
}

// removeUnlisted removes the entries that a complete list lacks.
func (gat *Server) removeUnlisted(list []tailer.Record) {
	listed := map[string]bool{}
	for _, rec := range list {
		listed[rec.Key] = true
	}
	for _, ent := range gat.adv.Others() {
		if !listed[ent.Name] {
			gat.adv.Remove(ent.Name)
		}
	}
}

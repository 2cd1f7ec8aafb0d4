package gateway

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/sender"
)

// soundAfter is how long after its first event a stream proves that the parts of its prompt do not crash the unit. Only a whole run proves that of the request itself.
const soundAfter = 300 * time.Millisecond

// Quarantine refuses requests that crash the units that run them. Subjects identify what requests have in common.
type Quarantine interface {
	// Check returns the verdict on a request, and whether it is refused; a verdict without refusal lets the request run once as a trial.
	Check(subs []string) (quarantiner.Verdict, bool)
	// Implicated reports whether any of the subjects may be the cause of the crash of another unit.
	Implicated(subs []string, unit string) bool
	// RecordSound records that a request proved its subjects sound, which clears them of the crashes up to a time, RecordBreak that one broke off at a unit before it did.
	RecordSound(subs []string, at time.Time)
	RecordBreak(uni dispatcher.Unit, subs []string)
}

// identify sets the subjects of the request: path, workspace and body, and the parts of its prompt.
func (job *job) identify() {
	path, _, _ := strings.Cut(job.target, "?")
	job.subjects = []string{quarantiner.Fingerprint(job.wsp.Name, path, job.body)}
	for _, part := range job.cal.PromptParts {
		job.subjects = append(job.subjects, quarantiner.Part([]byte(part)))
	}
}

// checkQuarantine fails if the request is quarantined. A trial is not checked again.
func (job *job) checkQuarantine() error {
	if job.trial {
		return nil
	}
	ver, refused := job.gat.opt.Quarantine.Check(job.subjects)
	if !refused {
		job.trial = len(ver.Subjects) > 0
		return nil
	}
	job.quarantined = ver.Key()
	return refuser.NotRun("requests like this one crashed the backend servers that ran them", job.gat.opt.Clock.Until(ver.Until))
}

// isQuarantined reports whether the request may not be sent to a further unit beside the one that has it.
func (job *job) isQuarantined() bool {
	ver, refused := job.gat.opt.Quarantine.Check(job.subjects)
	return refused || len(ver.Subjects) > 0
}

// parts returns the subjects of the parts of the prompt.
func (job *job) parts() []string {
	return job.subjects[1:]
}

// recordBreak records that an attempt broke off before the subjects proved sound.
func (job *job) recordBreak(uni dispatcher.Unit, subs []string) {
	job.brokeAt = uni.ID
	job.gat.opt.Quarantine.RecordBreak(uni, subs)
}

// mayHaveCrashed reports whether the request may have crashed the unit of its last attempt: it broke off there, and something like it broke off where another unit crashed.
func (job *job) mayHaveCrashed() bool {
	return job.brokeAt != "" && (job.trial || job.gat.opt.Quarantine.Implicated(job.subjects, job.brokeAt))
}

// noteBreak records that a stream broke off at its unit unless the request was not sent. The parts of its prompt may have proved sound there before.
func (rel *relay) noteBreak(res dispatcher.Result, err error) {
	if res != dispatcher.Fault || errors.Is(err, sender.ErrNotSent) {
		return
	}
	subs := rel.subjects
	if rel.partsSound {
		subs = subs[:1]
	}
	rel.recordBreak(rel.placement.Unit, subs)
}

// noteProgress records that the parts of the prompt proved sound once the stream has lasted long enough.
func (rel *relay) noteProgress(wat *watchdog) {
	if rel.partsSound || rel.placement.Unit.Entry != "" || wat.eventSpan() < soundAfter {
		return
	}
	rel.partsSound = true
	rel.gat.opt.Quarantine.RecordSound(rel.parts(), wat.began())
}

// noteEnd records that the request proved sound as its stream has ended, also of the crashes meanwhile. The rest of a stream proves that of the parts alone.
func (rel *relay) noteEnd(att *attempt, wat *watchdog) {
	if att.placement.Unit.Entry != "" {
		return
	}
	if !rel.partsSound {
		rel.gat.opt.Quarantine.RecordSound(rel.parts(), wat.began())
	}
	if att.after == "" {
		rel.gat.opt.Quarantine.RecordSound(rel.subjects[:1], rel.gat.opt.Clock.Now())
	}
}

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

// soundAfter is how long after its first event a stream proves that its request does not crash the unit: a unit crashes as it begins to write.
const soundAfter = 300 * time.Millisecond

// Quarantine refuses requests that crash the units that run them. Subjects identify what requests have in common.
type Quarantine interface {
	// Check returns the verdict on a request, and whether it is refused; a verdict without refusal lets the request run once as a trial.
	Check(subs []string) (quarantiner.Verdict, bool)
	// Implicated reports whether any of the subjects may be the cause of the crash of another unit.
	Implicated(subs []string, unit string) bool
	// RecordSound records that a request that began at a time proved sound, RecordBreak that one broke off at a unit before it did.
	RecordSound(subs []string, began time.Time)
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

// recordBreak records that an attempt broke off before the request proved sound.
func (job *job) recordBreak(uni dispatcher.Unit) {
	job.brokeAt = uni.ID
	job.gat.opt.Quarantine.RecordBreak(uni, job.subjects)
}

// mayHaveCrashed reports whether the request may have crashed the unit of its last attempt: it broke off there, and something like it broke off where another unit crashed.
func (job *job) mayHaveCrashed() bool {
	return job.brokeAt != "" && (job.trial || job.gat.opt.Quarantine.Implicated(job.subjects, job.brokeAt))
}

// noteBreak records that a stream broke off at its unit unless the request was not sent, or proved sound there.
func (rel *relay) noteBreak(res dispatcher.Result, err error) {
	if res == dispatcher.Fault && !rel.sound && !errors.Is(err, sender.ErrNotSent) {
		rel.recordBreak(rel.placement.Unit)
	}
}

// noteSound records that the request proved sound once its stream has lasted long enough.
func (rel *relay) noteSound(wat *watchdog) {
	if rel.sound || rel.placement.Unit.Entry != "" || wat.eventSpan() < soundAfter {
		return
	}
	rel.sound = true
	rel.gat.opt.Quarantine.RecordSound(rel.subjects, wat.began())
}

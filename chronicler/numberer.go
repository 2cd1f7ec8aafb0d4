package chronicler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// SequenceHook is a logrus hook that numbers the log lines of a process, because the clock that gives their timestamps may jump.
type SequenceHook struct {
	last atomic.Int64
}

// NewSequenceHook returns a hook whose first number is 1.
func NewSequenceHook() *SequenceHook {
	return &SequenceHook{}
}

// Levels returns all levels, so that every line is numbered.
func (num *SequenceHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the number to the line as the field seq.
func (num *SequenceHook) Fire(ent *logrus.Entry) error {
	ent.Data["seq"] = num.last.Add(1)
	return nil
}

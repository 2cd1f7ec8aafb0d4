package chronicler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Numberer is a logrus hook that numbers the log lines of a process, because the clock that gives their timestamps may jump.
type Numberer struct {
	last atomic.Int64
}

// NewNumberer returns a hook whose first number is 1.
func NewNumberer() *Numberer {
	return &Numberer{}
}

// Levels returns all levels, so that every line is numbered.
func (num *Numberer) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the number to the line as the field seq.
func (num *Numberer) Fire(ent *logrus.Entry) error {
	ent.Data["seq"] = num.last.Add(1)
	return nil
}

package chronicler

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// Numberer is a hook that numbers the log lines of a process, since their times may jump.
type Numberer struct {
	last atomic.Int64
}

// NewNumberer returns a hook that begins with 1.
func NewNumberer() *Numberer {
	return &Numberer{}
}

// Levels names all levels.
func (num *Numberer) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire adds the number as the field seq.
func (num *Numberer) Fire(ent *logrus.Entry) error {
	ent.Data["seq"] = num.last.Add(1)
	return nil
}

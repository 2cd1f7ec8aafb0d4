package cataloger

import (
	"time"

	"github.com/juju/errors"
)

// Duration is a time.Duration that is encoded as text with its unit, such as "16s".
type Duration time.Duration

// MarshalText encodes the duration with its unit.
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText parses a duration with its unit; it fails with errors.NotValid.
func (dur *Duration) UnmarshalText(text []byte) error {
	val, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.NewNotValid(err, "invalid duration")
	}
	*dur = Duration(val)
	return nil
}

package refuser

import (
	"encoding/json"
	"time"
)

// JSON returns the refusal as it is written to callers.
func (ref Refusal) JSON() []byte {
	data, err := json.Marshal(body{Error: detail{ref.Type, ref.Message, ref.RequestID, ceil(ref.RetryAfter, time.Millisecond)}})
	if err != nil {
		return nil
	}
	return data
}

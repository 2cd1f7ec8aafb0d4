package refuser

import (
	"encoding/json"
	"time"
)

// JSON returns the response body of the refusal, or nil if it cannot be encoded.
func (ref Refusal) JSON() []byte {
	data, err := json.Marshal(errorBody{Error: errorDetail{ref.Type, ref.Message, ref.RequestID, divideRoundingUp(ref.RetryAfter, time.Millisecond)}})
	if err != nil {
		return nil
	}
	return data
}

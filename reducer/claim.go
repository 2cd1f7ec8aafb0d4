package reducer

import (
	"time"

	"github.com/lovagelever/lovagelever/recorder"
)

// applyClaims checks each claim separately: a rejected claim does not affect the others in the batch.
func (sta *State) applyClaims(rec recorder.Record) Reason {
	body, err := recorder.Decode[recorder.Claims](rec)
	if err != nil {
		return ReasonMalformed
	}
	if _, live := sta.Members[rec.Writer]; !live {
		return ReasonNotMember
	}
	for _, cla := range body.Claims {
		if rea := sta.claim(rec.Writer, cla); rea != Accepted {
			sta.Counts["claim/"+string(rea)]++
		}
	}
	return Accepted
}

func (sta *State) claim(writer string, cla recorder.Claim) Reason {
	if !sta.Claimable(cla.IssuedMS) {
		return ReasonExpired
	}
	if _, taken := sta.Claims[cla.Key]; taken {
		return ReasonKeyClaimed
	}
	sta.Claims[cla.Key] = Claim{Owner: writer, Offset: sta.Offset, At: sta.At}
	sta.claimOrder.push(sta.At, cla.Key)
	return Accepted
}

// Claimable reports whether a key issued at the given Unix time in milliseconds can still be claimed.
func (sta *State) Claimable(issuedMS int64) bool {
	age := sta.At.Sub(time.UnixMilli(issuedMS))
	return age < ClaimWindow && age > -ClaimSkew
}

package reducer

import "github.com/lovagelever/lovagelever/recorder"

func (sta *State) applyCondemn(writer string, con recorder.Condemn) Reason {
	if _, live := sta.Members[writer]; !live {
		return ReasonNotMember
	}
	if con.Fingerprint == "" || len(con.Crashed) < 2 {
		return ReasonMalformed
	}
	sta.Condemned[con.Fingerprint] = Condemned{Workspace: con.Workspace, Offset: sta.Offset, At: sta.At}
	sta.expireCondemned()
	return Accepted
}

func (sta *State) expireCondemned() {
	oldest := ""
	for fpr, con := range sta.Condemned {
		if sta.At.Sub(con.At) > CondemnedRetention {
			delete(sta.Condemned, fpr)
			continue
		}
		if oldest == "" || con.Offset < sta.Condemned[oldest].Offset {
			oldest = fpr
		}
	}
	if len(sta.Condemned) > MaxCondemned {
		delete(sta.Condemned, oldest)
	}
}

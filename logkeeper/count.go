package logkeeper

import (
	"net/http"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Counts are the reads and appends that the log has been asked for.
type Counts struct {
	Reads   int64 `json:"reads"`
	Appends int64 `json:"appends"`
}

func (kpr *Keeper) serveCounts(wtr http.ResponseWriter, _ *http.Request) {
	jsoncoder.Write(wtr, http.StatusOK, Counts{Reads: kpr.reads.Load(), Appends: kpr.appends.Load()})
}

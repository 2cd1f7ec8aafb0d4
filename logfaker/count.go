package logfaker

import (
	"net/http"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Counts are the numbers of read and append requests that reached the log, refused ones included.
type Counts struct {
	Reads   int64 `json:"reads"`
	Appends int64 `json:"appends"`
}

func (log *Log) serveCounts(wtr http.ResponseWriter, _ *http.Request) {
	jsoncoder.Write(wtr, http.StatusOK, Counts{Reads: log.reads.Load(), Appends: log.appends.Load()})
}

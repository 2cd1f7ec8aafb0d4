package logfaker

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const maxRecordBytes = 4 << 20

type appendAnswer struct {
	Offset int64 `json:"offset"`
}

func (log *Log) serveAppend(wtr http.ResponseWriter, req *http.Request) {
	log.appends.Add(1)
	data, err := io.ReadAll(io.LimitReader(req.Body, maxRecordBytes+1))
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, errors.NewNotValid(err, "logfaker: read record body"))
		return
	}
	if len(data) > maxRecordBytes {
		jsoncoder.WriteError(wtr, http.StatusRequestEntityTooLarge, errors.NotValidf("logfaker: record larger than %d bytes", maxRecordBytes))
		return
	}
	if !json.Valid(data) {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, errors.NotValidf("logfaker: record that is no JSON value"))
		return
	}
	log.mut.Lock()
	if log.flt.RefuseAppends {
		log.mut.Unlock()
		jsoncoder.WriteError(wtr, http.StatusServiceUnavailable, errors.NotYetAvailablef("logfaker: append"))
		return
	}
	offset := log.append(data)
	lost := log.flt.LoseAnswers > 0
	if lost {
		log.flt.LoseAnswers--
	}
	log.mut.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	jsoncoder.Write(wtr, http.StatusOK, appendAnswer{Offset: offset})
}

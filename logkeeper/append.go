package logkeeper

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const maxRecord = 4 << 20

type appended struct {
	Offset int64 `json:"offset"`
}

func (kpr *Keeper) serveAppend(wtr http.ResponseWriter, req *http.Request) {
	kpr.appends.Add(1)
	data, err := io.ReadAll(io.LimitReader(req.Body, maxRecord+1))
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, errors.NewNotValid(err, "logkeeper: read record"))
		return
	}
	if len(data) > maxRecord {
		jsoncoder.Fail(wtr, http.StatusRequestEntityTooLarge, errors.NotValidf("logkeeper: record over %d bytes", maxRecord))
		return
	}
	if !json.Valid(data) {
		jsoncoder.Fail(wtr, http.StatusBadRequest, errors.NotValidf("logkeeper: record that is no JSON value"))
		return
	}
	kpr.mut.Lock()
	if kpr.flt.RefuseAppends {
		kpr.mut.Unlock()
		jsoncoder.Fail(wtr, http.StatusServiceUnavailable, errors.NotYetAvailablef("logkeeper: append"))
		return
	}
	offset := kpr.append(data)
	lost := kpr.flt.LoseAnswers > 0
	if lost {
		kpr.flt.LoseAnswers--
	}
	kpr.mut.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	jsoncoder.Write(wtr, http.StatusOK, appended{Offset: offset})
}

package logfaker

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const (
	maxRecords     = 1000
	maxAnswerBytes = 8 << 20
	maxWait        = time.Minute
)

type offsetRange struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

type query struct {
	from  int64
	limit int
	wait  time.Duration
}

func (log *Log) serveRead(wtr http.ResponseWriter, req *http.Request) {
	log.reads.Add(1)
	qry, err := parseQuery(req.URL.Query())
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	timeout := log.opt.Clock.After(qry.wait)
	for {
		rng, body, appended := log.read(qry)
		if qry.from < rng.First {
			jsoncoder.Write(wtr, http.StatusGone, rng)
			return
		}
		if qry.from < rng.Next || qry.wait == 0 {
			writeRaw(wtr, body)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			qry.wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

func parseQuery(vals url.Values) (query, error) {
	from, err := parseNumber(vals, "from", 1)
	if err != nil {
		return query{}, err
	}
	limit, err := parseNumber(vals, "limit", maxRecords)
	if err != nil {
		return query{}, err
	}
	wait, err := parseNumber(vals, "wait_ms", 0)
	if err != nil {
		return query{}, err
	}
	return query{
		from:  max(from, 1),
		limit: int(min(max(limit, 1), maxRecords)),
		wait:  min(time.Duration(max(wait, 0))*time.Millisecond, maxWait),
	}, nil
}

func parseNumber(vals url.Values, name string, absent int64) (int64, error) {
	text := vals.Get(name)
	if text == "" {
		return absent, nil
	}
	num, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.NewNotValid(err, "logfaker: query parameter "+name)
	}
	return num, nil
}

func (log *Log) read(qry query) (offsetRange, []byte, <-chan struct{}) {
	log.mut.Lock()
	defer log.mut.Unlock()
	log.expire()
	rng := offsetRange{First: log.firstOffset, Next: log.nextOffset()}
	return rng, log.encode(qry, rng), log.appendSignal
}

// encode assembles the JSON answer by hand because a JSON encoder would reformat the stored records.
func (log *Log) encode(qry query, rng offsetRange) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"first":%d,"next":%d,"records":[`, rng.First, rng.Next)
	if qry.from >= rng.First {
		log.encodeRecords(&buf, qry, rng)
	}
	buf.WriteString("]}")
	return buf.Bytes()
}

func (log *Log) encodeRecords(buf *bytes.Buffer, qry query, rng offsetRange) {
	end := min(rng.Next, qry.from+int64(qry.limit))
	for off := qry.from; off < end; off++ {
		rec := log.records[off-rng.First]
		if off > qry.from && buf.Len()+len(rec.data) > maxAnswerBytes {
			return
		}
		if off > qry.from {
			buf.WriteByte(',')
		}
		fmt.Fprintf(buf, `{"offset":%d,"at":%q,"data":%s}`, off, rec.at.UTC().Format(time.RFC3339Nano), rec.data)
	}
}

func writeRaw(wtr http.ResponseWriter, body []byte) {
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(http.StatusOK)
	_, _ = wtr.Write(body)
}

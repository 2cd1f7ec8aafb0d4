package logkeeper

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
	maxRecords = 1000
	maxAnswer  = 8 << 20
	maxWait    = time.Minute
)

type span struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

type query struct {
	from  int64
	limit int
	wait  time.Duration
}

func (kpr *Keeper) serveRead(wtr http.ResponseWriter, req *http.Request) {
	kpr.reads.Add(1)
	qry, err := parse(req.URL.Query())
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, err)
		return
	}
	timeout := kpr.opt.Clock.After(qry.wait)
	for {
		spn, body, grown := kpr.read(qry)
		if qry.from < spn.First {
			jsoncoder.Write(wtr, http.StatusGone, spn)
			return
		}
		if qry.from < spn.Next || qry.wait == 0 {
			writeRaw(wtr, body)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			qry.wait = 0
		case <-req.Context().Done():
			return
		}
	}
}

func parse(vals url.Values) (query, error) {
	from, err := number(vals, "from", 1)
	if err != nil {
		return query{}, err
	}
	limit, err := number(vals, "limit", maxRecords)
	if err != nil {
		return query{}, err
	}
	wait, err := number(vals, "wait_ms", 0)
	if err != nil {
		return query{}, err
	}
	return query{
		from:  max(from, 1),
		limit: int(min(max(limit, 1), maxRecords)),
		wait:  min(time.Duration(max(wait, 0))*time.Millisecond, maxWait),
	}, nil
}

func number(vals url.Values, name string, absent int64) (int64, error) {
	text := vals.Get(name)
	if text == "" {
		return absent, nil
	}
	num, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.NewNotValid(err, "logkeeper: "+name)
	}
	return num, nil
}

func (kpr *Keeper) read(qry query) (span, []byte, <-chan struct{}) {
	kpr.mut.Lock()
	defer kpr.mut.Unlock()
	kpr.expire()
	spn := span{First: kpr.first, Next: kpr.next()}
	return spn, kpr.encode(qry, spn), kpr.grown
}

// encode writes the answer by hand, since a JSON encoder would reformat the records.
func (kpr *Keeper) encode(qry query, spn span) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"first":%d,"next":%d,"records":[`, spn.First, spn.Next)
	if qry.from >= spn.First {
		kpr.encodeRecords(&buf, qry, spn)
	}
	buf.WriteString("]}")
	return buf.Bytes()
}

func (kpr *Keeper) encodeRecords(buf *bytes.Buffer, qry query, spn span) {
	end := min(spn.Next, qry.from+int64(qry.limit))
	for off := qry.from; off < end; off++ {
		rec := kpr.recs[off-spn.First]
		if off > qry.from && buf.Len()+len(rec.data) > maxAnswer {
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

package rig

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Link passes the calls of one entry on to the store. It can lose the answer of one withdrawal, which the store then carries out late.
type Link struct {
	// Address is the IP:PORT at which the entry reaches the store.
	Address string
	srv     *httptest.Server
	store   string
	rec     *Record

	mux    sync.Mutex
	late   time.Duration
	writes int
	lost   int
	onRead chan struct{}
}

// NewLink starts a link to the store at an address.
func NewLink(store string, rec *Record) *Link {
	lin := &Link{store: store, rec: rec}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ModifyResponse = limitRead
	lin.srv = httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && lin.losesAnswer(req) {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(wtr, req)
		if req.URL.Path == "/log-read" && req.URL.Query().Get("topic") == "keyed.op" {
			lin.noteRead()
		}
	}))
	lin.Address = lin.srv.Listener.Addr().String()
	return lin
}

// LoseWithdrawal has the store carry out the next withdrawal of a registration late, and not answer it; 0 ends that.
func (lin *Link) LoseWithdrawal(late time.Duration) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.late = late
}

// AfterRead returns a channel that is closed once the entry has been sent the next answer to a read of what the operator writes.
func (lin *Link) AfterRead() <-chan struct{} {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.onRead = make(chan struct{})
	return lin.onRead
}

func (lin *Link) noteRead() {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	if lin.onRead != nil {
		close(lin.onRead)
		lin.onRead = nil
	}
}

// limitRead cuts the answer to a read to what the store sends at most, in whole records; the project's stand-in of the store sends all.
func limitRead(res *http.Response) error {
	const headBytes, lengthBytes, maxBytes = 16, 4, 1024 << 10
	if res.Request.URL.Path != "/log-read" || res.StatusCode != http.StatusOK {
		return nil
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	end := headBytes
	for end+lengthBytes <= len(data) {
		next := end + lengthBytes + int(binary.BigEndian.Uint32(data[end:]))
		if next > headBytes+maxBytes {
			break
		}
		end = next
	}
	end = min(end, len(data))
	res.Body = io.NopCloser(bytes.NewReader(data[:end]))
	res.ContentLength = int64(end)
	res.Header.Set("Content-Length", strconv.Itoa(end))
	return nil
}

// Writes returns how many writing calls the entry has sent, and how many answers were lost.
func (lin *Link) Writes() (all, lost int) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	return lin.writes, lin.lost
}

// losesAnswer reports whether the answer of a call is lost, and carries the call out late if so.
func (lin *Link) losesAnswer(req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.writes++
	late := lin.late
	if late == 0 || req.URL.Path != "/log-append" || req.URL.Query().Get("topic") != "keyed.entries" || !isDeletion(body) {
		return false
	}
	lin.late = 0
	lin.lost++
	lin.rec.Logf("store: loses the answer of a withdrawal, and carries it out %v later", late)
	target := "http://" + lin.store + req.URL.RequestURI()
	time.AfterFunc(late, func() { lin.carryOut(target, body) })
	return true
}

func (lin *Link) carryOut(target string, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		lin.rec.Logf("store: the late withdrawal failed: %v", err)
		return
	}
	_ = res.Body.Close()
	lin.rec.Logf("store: has carried out the late withdrawal, status %d", res.StatusCode)
}

// isDeletion reports whether the body of an append is one record with a key and no value.
func isDeletion(body []byte) bool {
	const lengthBytes = 4
	if len(body) < lengthBytes+1 {
		return false
	}
	size := int(binary.BigEndian.Uint32(body))
	return size == len(body)-lengthBytes && size == 1+int(body[lengthBytes])
}

// Close ends the link.
func (lin *Link) Close() {
	lin.srv.CloseClientConnections()
	lin.srv.Close()
}

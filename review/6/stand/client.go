package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host          = "venue.example"
	key           = "key-1"
	clientTimeout = 4 * time.Second
)

// sent is a request of a client: when it was sent, and when its answer came or the client left.
type sent struct {
	entry     string
	at, ended time.Time
	status    int
}

// clients send safe requests to the entries, each on a kept connection.
type clients struct {
	rec    *record
	cancel context.CancelFunc
	all    sync.WaitGroup
	number atomic.Int64

	mux  sync.Mutex
	sent map[string]sent
}

// meanPause is the mean of the random pauses of a client between an answer and its next request.
const meanPause = 60 * time.Millisecond

// newClients starts a number of clients of each entry, which send one request after the other.
func newClients(ctx context.Context, sys *system, each int) *clients {
	ctx, cancel := context.WithCancel(ctx)
	cli := &clients{rec: sys.rec, cancel: cancel, sent: map[string]sent{}}
	for _, ent := range sys.entries {
		for range each {
			cli.all.Go(func() {
				tra := &http.Transport{MaxIdleConnsPerHost: 1}
				defer tra.CloseIdleConnections()
				for ctx.Err() == nil {
					cli.send(ctx, tra, ent)
					select {
					case <-ctx.Done():
					case <-time.After(rand.N(2 * meanPause)):
					}
				}
			})
		}
	}
	return cli
}

func (cli *clients) send(ctx context.Context, tra *http.Transport, ent *entry) {
	id := fmt.Sprintf("%016x", cli.number.Add(1))
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ent.ip+":8000/look/"+id, nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Lovagelever-Request-Id", id)
	req.Header.Set("Lovagelever-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	one := sent{entry: ent.name, at: time.Now()}
	cli.rec.addAt(one.at, "client sends %s to %s", id, ent.name)
	res, err := tra.RoundTrip(req)
	if err == nil {
		one.status = res.StatusCode
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	one.ended = time.Now()
	if err != nil {
		cli.rec.addAt(one.ended, "client of %s leaves: %v", id, err)
	} else {
		cli.rec.addAt(one.ended, "client of %s gets %d", id, one.status)
	}
	cli.mux.Lock()
	defer cli.mux.Unlock()
	cli.sent[id] = one
}

// of returns what is known of a request.
func (cli *clients) of(id string) sent {
	cli.mux.Lock()
	defer cli.mux.Unlock()
	return cli.sent[id]
}

// stop ends the clients and returns how many requests were sent, and how many were answered with 200.
func (cli *clients) stop() (num, served int) {
	cli.cancel()
	cli.all.Wait()
	cli.mux.Lock()
	defer cli.mux.Unlock()
	for _, one := range cli.sent {
		if one.status == http.StatusOK {
			served++
		}
	}
	return len(cli.sent), served
}

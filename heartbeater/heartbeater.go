package heartbeater

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// MinInterval is the time between two heartbeats in a small cluster; it is short because requests of the sheets in
	// docs/ADAPTER.md last about a second.
	MinInterval = 100 * time.Millisecond
	// maxDatagramsPerSecond bounds the datagrams that one entry sends; with more peers heartbeats become less frequent.
	maxDatagramsPerSecond = 150
	// SilentAfterIntervals is after how many heartbeat intervals without a datagram an entry counts as gone.
	SilentAfterIntervals = 10
)

// Peer is another entry and the address IP:PORT at which it receives heartbeats.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Options configures a Heartbeater: Peers returns the other entries, Heartbeat the heartbeat to send, OnHeartbeat handles a received
// heartbeat, and OnSilent an entry that has become silent.
type Options struct {
	Address     netip.AddrPort
	Peers       func() []Peer
	Heartbeat   func() Heartbeat
	OnHeartbeat func(bea Heartbeat)
	OnSilent    func(name string)
	Clock       clockwork.Clock
	Logger      *logrus.Entry
}

// Heartbeater exchanges heartbeats with the other entries; it is safe for concurrent use.
type Heartbeater struct {
	opt   Options
	con   *net.UDPConn
	mux   sync.Mutex
	heard map[string]lastHeartbeat
}

type lastHeartbeat struct {
	at          time.Time
	incarnation uint64
	seq         uint64
}

// New returns a heartbeater that listens on its address.
func New(opt Options) (*Heartbeater, error) {
	con, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.Address))
	if err != nil {
		return nil, err
	}
	return &Heartbeater{opt: opt, con: con, heard: map[string]lastHeartbeat{}}, nil
}

// Run exchanges heartbeats until the context ends.
func (sha *Heartbeater) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = sha.con.Close() })
	defer stop()
	go sha.receive(ctx)
	for {
		every := sha.send()
		select {
		case <-ctx.Done():
			return
		case <-sha.opt.Clock.After(every):
		}
	}
}

// Heard reports whether a heartbeat of an entry arrived recently.
func (sha *Heartbeater) Heard(name string) bool {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	las, known := sha.heard[name]
	return known && sha.opt.Clock.Since(las.at) < SilentAfterIntervals*Interval(len(sha.heard))
}

// Interval returns the time between two heartbeats for a number of other entries.
func Interval(peers int) time.Duration {
	return max(MinInterval, time.Duration(peers)*time.Second/maxDatagramsPerSecond)
}

func (sha *Heartbeater) send() time.Duration {
	peers := sha.opt.Peers()
	if len(peers) > 0 {
		data := Encode(sha.opt.Heartbeat())
		for _, pee := range peers {
			if _, err := sha.con.WriteToUDPAddrPort(data, pee.Address); err != nil {
				sha.opt.Logger.WithError(err).WithField("entry", pee.Name).Debug("failed to send heartbeat")
			}
		}
	}
	sha.expire()
	return Interval(len(peers))
}

func (sha *Heartbeater) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		num, _, err := sha.con.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				sha.opt.Logger.WithError(err).Debug("failed to receive heartbeat")
			}
			continue
		}
		bea, err := Decode(buf[:num])
		if err != nil {
			sha.opt.Logger.WithError(err).Debug("ignoring datagram that is not a valid heartbeat")
			continue
		}
		if sha.accept(bea) {
			sha.opt.OnHeartbeat(bea)
		}
	}
}

// accept records a heartbeat, and reports false if it is no newer than the last one of the same entry.
func (sha *Heartbeater) accept(bea Heartbeat) bool {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	old, known := sha.heard[bea.Name]
	if known && (bea.Incarnation < old.incarnation || bea.Incarnation == old.incarnation && bea.Seq <= old.seq) {
		return false
	}
	if !known {
		sha.opt.Logger.WithField("entry", bea.Name).Info("heartbeats from entry started")
	}
	sha.heard[bea.Name] = lastHeartbeat{at: sha.opt.Clock.Now(), incarnation: bea.Incarnation, seq: bea.Seq}
	return true
}

// expire removes the entries that have become silent and reports them to OnSilent.
func (sha *Heartbeater) expire() {
	sha.mux.Lock()
	var gone []string
	limit := SilentAfterIntervals * Interval(len(sha.heard))
	for name, las := range sha.heard {
		if sha.opt.Clock.Since(las.at) >= limit {
			delete(sha.heard, name)
			gone = append(gone, name)
		}
	}
	sha.mux.Unlock()
	for _, name := range gone {
		sha.opt.Logger.WithFields(logrus.Fields{"entry": name, "after_ms": limit.Milliseconds()}).Info("heartbeats from entry stopped")
		sha.opt.OnSilent(name)
	}
}

package sharer

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
	// DefaultEvery is the time between two beats among few entries: requests of the sheets in docs/ADAPTER.md last about a second.
	DefaultEvery = 100 * time.Millisecond
	// mostPerSecond bounds the datagrams that one entry sends; above it beats become rarer.
	mostPerSecond = 150
	// SilentAfter is after how many beats without a sign an entry counts as gone.
	SilentAfter = 10
)

// Peer is another entry and the address IP:PORT at which it takes beats.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Options are what a sharer needs: Peers names the other entries, Beat is what is told, and OnBeat and OnSilent what becomes of the others' beats.
type Options struct {
	Address  netip.AddrPort
	Peers    func() []Peer
	Beat     func() Beat
	OnBeat   func(bea Beat)
	OnSilent func(name string)
	Clock    clockwork.Clock
	Logger   *logrus.Entry
}

// Sharer exchanges beats; it is safe for concurrent use.
type Sharer struct {
	opt   Options
	con   *net.UDPConn
	mux   sync.Mutex
	heard map[string]sign
}

type sign struct {
	at          time.Time
	incarnation uint64
	seq         uint64
}

// New returns a sharer that listens at its address.
func New(opt Options) (*Sharer, error) {
	con, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.Address))
	if err != nil {
		return nil, err
	}
	return &Sharer{opt: opt, con: con, heard: map[string]sign{}}, nil
}

// Run exchanges beats until the context ends.
func (sha *Sharer) Run(ctx context.Context) {
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

// Heard reports whether an entry gave a sign not long ago.
func (sha *Sharer) Heard(name string) bool {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	sig, known := sha.heard[name]
	return known && sha.opt.Clock.Since(sig.at) < SilentAfter*Every(len(sha.heard))
}

// Every is the time between two beats among so many other entries.
func Every(peers int) time.Duration {
	return max(DefaultEvery, time.Duration(peers)*time.Second/mostPerSecond)
}

func (sha *Sharer) send() time.Duration {
	peers := sha.opt.Peers()
	if len(peers) > 0 {
		data := Encode(sha.opt.Beat())
		for _, pee := range peers {
			if _, err := sha.con.WriteToUDPAddrPort(data, pee.Address); err != nil {
				sha.opt.Logger.WithError(err).WithField("entry", pee.Name).Debug("beat could not be sent")
			}
		}
	}
	sha.expire()
	return Every(len(peers))
}

func (sha *Sharer) receive(ctx context.Context) {
	buf := make([]byte, mostBytes+1)
	for ctx.Err() == nil {
		num, _, err := sha.con.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				sha.opt.Logger.WithError(err).Debug("beat could not be received")
			}
			continue
		}
		bea, err := Decode(buf[:num])
		if err != nil {
			sha.opt.Logger.WithError(err).Debug("datagram is no beat")
			continue
		}
		if sha.note(bea) {
			sha.opt.OnBeat(bea)
		}
	}
}

// note reports whether a beat is newer than what was heard of the entry.
func (sha *Sharer) note(bea Beat) bool {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	old, known := sha.heard[bea.Name]
	if known && (bea.Incarnation < old.incarnation || bea.Incarnation == old.incarnation && bea.Seq <= old.seq) {
		return false
	}
	if !known {
		sha.opt.Logger.WithField("entry", bea.Name).Info("entry heard")
	}
	sha.heard[bea.Name] = sign{at: sha.opt.Clock.Now(), incarnation: bea.Incarnation, seq: bea.Seq}
	return true
}

// expire forgets entries that have fallen silent.
func (sha *Sharer) expire() {
	sha.mux.Lock()
	var gone []string
	limit := SilentAfter * Every(len(sha.heard))
	for name, sig := range sha.heard {
		if sha.opt.Clock.Since(sig.at) >= limit {
			delete(sha.heard, name)
			gone = append(gone, name)
		}
	}
	sha.mux.Unlock()
	for _, name := range gone {
		sha.opt.Logger.WithFields(logrus.Fields{"entry": name, "after_ms": limit.Milliseconds()}).Info("entry silent")
		sha.opt.OnSilent(name)
	}
}

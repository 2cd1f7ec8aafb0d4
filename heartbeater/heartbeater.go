package heartbeater

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/ratelimiter"
)

const (
	// MinInterval is the time between two heartbeats in a small cluster; it is short because requests of the sheets in
	// docs/ADAPTER.md last about a second.
	MinInterval = 100 * time.Millisecond
	// maxDatagramsPerSecond bounds the datagrams that one entry sends; with more peers heartbeats become less frequent.
	maxDatagramsPerSecond = 150
	// frequentDatagramsPerSecond is the same for the few entries whose heartbeats the others must not miss for long.
	frequentDatagramsPerSecond = 3 * maxDatagramsPerSecond
	// seldomFactor is by how much less often an entry sends heartbeats that the others hardly need.
	seldomFactor = 3
	// SilentAfterIntervals is after how many heartbeat intervals without a datagram an entry counts as gone. It is more than twice seldomFactor.
	SilentAfterIntervals = 10
	// maxNames is the number of names above which only registered entries are added: anyone can send a datagram with a name.
	maxNames = 1024
)

// Peer is another entry and the address IP:PORT at which it receives heartbeats.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Rate is how often an entry sends heartbeats to all others.
type Rate int

// A Normal entry sends at Interval, a Frequent one at FrequentInterval, and a Seldom one at a third of the normal rate.
const (
	Normal Rate = iota
	Frequent
	Seldom
)

// interval returns the time between two heartbeats to the same peer.
func (rat Rate) interval(peers int) time.Duration {
	switch rat {
	case Frequent:
		return FrequentInterval(peers)
	case Seldom:
		return seldomFactor * Interval(peers)
	}
	return Interval(peers)
}

// Options configures a Heartbeater: Peers returns the other entries, Collectors those of them that get a heartbeat every
// MinInterval, Rate how often this entry sends heartbeats to all, Heartbeat the heartbeat to send to a collector or to another peer,
// Totals the totals to send every MinInterval, by peer, OnHeartbeat and OnTotals handle what is received, and OnSilent an entry that
// has become silent. Evidence returns the evidence about crashes to send to all peers now, and OnEvidence handles that of others; both
// may be nil. OnLimits handles what other entries tell about the rate limits of backend servers. Registered returns the incarnation
// that is registered under a name, 0 for none; it may be nil.
type Options struct {
	Address     netip.AddrPort
	Peers       func() []Peer
	Collectors  func(peers []Peer) []Peer
	Rate        func() Rate
	Heartbeat   func(toCollector bool) Heartbeat
	Totals      func(peers []Peer) map[Peer]Totals
	OnHeartbeat func(bea Heartbeat)
	OnTotals    func(tot Totals)
	OnSilent    func(name string)
	Evidence    func() quarantiner.Evidence
	OnEvidence  func(evi quarantiner.Evidence)
	OnLimits    func(msg ratelimiter.Message)
	Registered  func(name string) uint64
	OnDrop      func()
	Clock       clockwork.Clock
	Logger      *logrus.Entry
}

// Heartbeater exchanges heartbeats with the other entries; it is safe for concurrent use.
type Heartbeater struct {
	opt   Options
	con   *net.UDPConn
	mux   sync.Mutex
	heard map[string]lastHeartbeat
	// totals holds the last totals of each entry; only the receiving goroutine uses it.
	totals map[string]lastHeartbeat
	// next is the position of the peer that gets the next heartbeat, and due the fraction of a heartbeat that is due beyond whole ones.
	next int
	due  float64
}

type lastHeartbeat struct {
	at          time.Time
	incarnation uint64
	seq         uint64
}

// isBefore reports whether a message was sent later than this one. An incarnation is the time of a start, and lower than that of the process before if the clock was set back in between; the registered one is the present one all the same.
func (las lastHeartbeat) isBefore(incarnation, seq, registered uint64) bool {
	if las.incarnation == incarnation {
		return las.seq < seq
	}
	return las.incarnation < incarnation || incarnation == registered
}

// registered returns the incarnation that is registered under a name, 0 if none is known.
func (hea *Heartbeater) registered(name string) uint64 {
	if hea.opt.Registered == nil {
		return 0
	}
	return hea.opt.Registered(name)
}

// New returns a heartbeater that listens on its address.
func New(opt Options) (*Heartbeater, error) {
	con, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(opt.Address))
	if err != nil {
		return nil, err
	}
	// Entries begin with different peers.
	return &Heartbeater{opt: opt, con: con, heard: map[string]lastHeartbeat{}, totals: map[string]lastHeartbeat{}, next: rand.IntN(math.MaxInt32)}, nil
}

// Run exchanges heartbeats until the context ends.
func (hea *Heartbeater) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = hea.con.Close() })
	defer stop()
	go hea.receive(ctx)
	for {
		hea.send()
		select {
		case <-ctx.Done():
			return
		case <-hea.opt.Clock.After(MinInterval):
		}
	}
}

// HeardWithin reports whether a heartbeat of an entry arrived within a duration.
func (hea *Heartbeater) HeardWithin(name string, within time.Duration) bool {
	hea.mux.Lock()
	defer hea.mux.Unlock()
	las, known := hea.heard[name]
	return known && hea.opt.Clock.Since(las.at) < within
}

// Heard reports whether a heartbeat of an entry arrived recently.
func (hea *Heartbeater) Heard(name string) bool {
	hea.mux.Lock()
	defer hea.mux.Unlock()
	las, known := hea.heard[name]
	return known && hea.opt.Clock.Since(las.at) < SilentAfterIntervals*Interval(len(hea.heard))
}

// silenceLimit returns after how long without a datagram an entry counts as gone.
func (hea *Heartbeater) silenceLimit() time.Duration {
	hea.mux.Lock()
	defer hea.mux.Unlock()
	return SilentAfterIntervals * Interval(len(hea.heard))
}

// Interval returns the time between two heartbeats for a number of other entries.
func Interval(peers int) time.Duration {
	return max(MinInterval, time.Duration(peers)*time.Second/maxDatagramsPerSecond)
}

// FrequentInterval returns the same for an entry that sends frequent heartbeats.
func FrequentInterval(peers int) time.Duration {
	return max(MinInterval, time.Duration(peers)*time.Second/frequentDatagramsPerSecond)
}

// send sends heartbeats to the peers whose turn it is. They are distributed over the interval, so that the peers do not all ask this entry for its news at the same moment.
func (hea *Heartbeater) send() {
	hea.expire()
	peers := hea.opt.Peers()
	if len(peers) == 0 {
		return
	}
	hea.sendEvidence(peers)
	num := hea.dueNow(len(peers))
	for pee, tot := range hea.opt.Totals(peers) {
		hea.write(EncodeTotals(tot), pee)
	}
	collectors := hea.opt.Collectors(peers)
	if len(collectors) > 0 {
		data := Encode(hea.opt.Heartbeat(true))
		for _, pee := range collectors {
			hea.write(data, pee)
		}
	}
	if num == 0 {
		return
	}
	data := Encode(hea.opt.Heartbeat(false))
	for range num {
		pee := peers[hea.next%len(peers)]
		hea.next++
		if !slices.Contains(collectors, pee) {
			hea.write(data, pee)
		}
	}
}

// Announce sends a heartbeat to all peers at once, when its content concerns them before their next turn.
func (hea *Heartbeater) Announce() {
	data := Encode(hea.opt.Heartbeat(false))
	for _, pee := range hea.opt.Peers() {
		hea.write(data, pee)
	}
}

// sendEvidence sends the evidence that is due to all peers, since each must refuse a request that crashes its backend servers.
func (hea *Heartbeater) sendEvidence(peers []Peer) {
	if hea.opt.Evidence == nil {
		return
	}
	for _, data := range EncodeEvidence(hea.opt.Evidence()) {
		for _, pee := range peers {
			hea.write(data, pee)
		}
	}
}

// dueNow returns how many of the peers get a heartbeat in this MinInterval.
func (hea *Heartbeater) dueNow(peers int) int {
	every := hea.opt.Rate().interval(peers)
	hea.due += float64(peers) * MinInterval.Seconds() / every.Seconds()
	num := int(hea.due)
	hea.due -= float64(num)
	return min(num, peers)
}

func (hea *Heartbeater) write(data []byte, pee Peer) {
	if _, err := hea.con.WriteToUDPAddrPort(data, pee.Address); err != nil {
		hea.opt.Logger.WithError(err).WithField("entry", pee.Name).Debug("failed to send heartbeat")
	}
}

func (hea *Heartbeater) receive(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		num, _, err := hea.con.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				hea.opt.Logger.WithError(err).Debug("failed to receive heartbeat")
			}
			continue
		}
		if num > 0 && (buf[0] == totalsVersion || buf[0] == workTotalsVersion) {
			hea.receiveTotals(buf[:num])
			continue
		}
		if num > 0 && buf[0] == evidenceVersion {
			hea.receiveEvidence(buf[:num])
			continue
		}
		if num > 0 && buf[0] == limitsVersion {
			hea.receiveLimits(buf[:num])
			continue
		}
		bea, err := Decode(buf[:num])
		if err != nil {
			hea.opt.Logger.WithError(err).Debug("ignoring datagram that is not a valid heartbeat")
			continue
		}
		if hea.accept(bea) {
			hea.opt.OnHeartbeat(bea)
		}
	}
}

// receiveTotals handles totals unless they are older than recent ones of the same entry.
func (hea *Heartbeater) receiveTotals(data []byte) {
	tot, err := DecodeTotals(data)
	if err != nil {
		hea.opt.Logger.WithError(err).Debug("ignoring datagram that holds no valid totals")
		return
	}
	now := hea.opt.Clock.Now()
	last, known := hea.totals[tot.Name]
	if !known && len(hea.totals) >= maxNames && hea.registered(tot.Name) == 0 {
		hea.drop()
		return
	}
	if known && now.Sub(last.at) < hea.silenceLimit() && !last.isBefore(tot.Incarnation, tot.Seq, hea.registered(tot.Name)) {
		return
	}
	hea.totals[tot.Name] = lastHeartbeat{at: now, incarnation: tot.Incarnation, seq: tot.Seq}
	hea.opt.OnTotals(tot)
}

func (hea *Heartbeater) receiveEvidence(data []byte) {
	evi, err := DecodeEvidence(data)
	if err != nil {
		hea.opt.Logger.WithError(err).Debug("ignoring datagram that holds no valid evidence")
		return
	}
	if hea.opt.OnEvidence != nil {
		hea.opt.OnEvidence(evi)
	}
}

// SendLimits sends a message about rate limits to peers at once.
func (hea *Heartbeater) SendLimits(msg ratelimiter.Message, peers ...Peer) {
	for _, data := range EncodeLimits(msg) {
		for _, pee := range peers {
			hea.write(data, pee)
		}
	}
}

func (hea *Heartbeater) receiveLimits(data []byte) {
	msg, err := DecodeLimits(data)
	if err != nil {
		hea.opt.Logger.WithError(err).Debug("ignoring datagram that holds no valid limits")
		return
	}
	if hea.opt.OnLimits != nil {
		hea.opt.OnLimits(msg)
	}
}

// accept records a heartbeat, and reports false if it is no newer than the last one of the same entry.
func (hea *Heartbeater) accept(bea Heartbeat) bool {
	registered := hea.registered(bea.Name)
	hea.mux.Lock()
	defer hea.mux.Unlock()
	old, known := hea.heard[bea.Name]
	if known && !old.isBefore(bea.Incarnation, bea.Seq, registered) {
		return false
	}
	if !known && len(hea.heard) >= maxNames && registered == 0 {
		hea.drop()
		return false
	}
	if !known {
		hea.opt.Logger.WithField("entry", bea.Name).Debug("heartbeats from entry started")
	}
	hea.heard[bea.Name] = lastHeartbeat{at: hea.opt.Clock.Now(), incarnation: bea.Incarnation, seq: bea.Seq}
	return true
}

// drop reports a datagram of an entry that is not registered, of which there are too many.
func (hea *Heartbeater) drop() {
	if hea.opt.OnDrop != nil {
		hea.opt.OnDrop()
	}
}

// expire removes the entries that have become silent and reports them to OnSilent.
func (hea *Heartbeater) expire() {
	hea.mux.Lock()
	var gone []string
	limit := SilentAfterIntervals * Interval(len(hea.heard))
	for name, las := range hea.heard {
		if hea.opt.Clock.Since(las.at) >= limit {
			delete(hea.heard, name)
			gone = append(gone, name)
		}
	}
	hea.mux.Unlock()
	for _, name := range gone {
		hea.opt.Logger.WithFields(logrus.Fields{"entry": name, "after_ms": limit.Milliseconds()}).Info("heartbeats from entry stopped")
		hea.opt.OnSilent(name)
	}
}

package gateserver

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/linkchecker"
	"github.com/lovagelever/lovagelever/peerpicker"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/sender"
)

const (
	// peerDialTimeout limits connecting to another entry: one that takes longer is replaced by a third one.
	peerDialTimeout = 250 * time.Millisecond
	// slowDial is how long a connection to a backend server may take to open before the links are checked.
	slowDial = 50 * time.Millisecond
)

// announceDelays are when a change of the links, or a stop, is announced to all other entries, since datagrams get lost.
var announceDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}

// buildLinks creates the components that find out whether this entry reaches backend servers, and which other entries do.
func (gat *Server) buildLinks(source net.IP) {
	gat.pic = peerpicker.New(peerpicker.Options{Zone: gat.set.Zone, Peers: gat.forwardingPeers, Clock: gat.clk})
	gat.lin = linkchecker.New(linkchecker.Options{
		Sample: gat.sampleServers, Probe: gat.probeLink, OthersReach: func(service string) bool { return gat.pic.AnyReaches(hash(service)) }, OnChange: gat.onLinksChange, Clock: gat.clk, Logger: gat.log,
	})
	gat.pla.Engines = linkedEngines{EngineClient: gat.pla.Engines, lin: gat.lin}
	gat.peerSender = sender.New(&net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, KeepAlive: -1}, gat.clk, peerDialTimeout)
}

// forwardingPeers returns the entries of this region that take requests of other entries. The region is that of the callers, which requests must not leave.
func (gat *Server) forwardingPeers() []peerpicker.Peer {
	var out []peerpicker.Peer
	for _, ent := range gat.adv.Others() {
		if ent.ForwardingAddress != "" && ent.Region == gat.set.Region && !ent.Stopping && gat.heardRecently(ent.Name) {
			out = append(out, peerpicker.Peer{Name: ent.Name, Zone: ent.Zone, Address: ent.ForwardingAddress, Cores: ent.Cores})
		}
	}
	return out
}

// sampleServers returns up to num random servers of a service, or of any if it is empty, that should answer, of as many availability zones as possible.
func (gat *Server) sampleServers(service string, num int) []registrar.Server {
	vie := gat.reg.View()
	byZone := map[string][]registrar.Server{}
	for _, ser := range vie.Servers {
		if (service == "" || ser.Service == service) && vie.Usable(ser) && !gat.dis.Paused(ser.Instance()) {
			byZone[ser.Zone] = append(byZone[ser.Zone], ser)
		}
	}
	var out []registrar.Server
	for len(byZone) > 0 && len(out) < num {
		for zone, list := range byZone {
			pos := rand.IntN(len(list))
			out = append(out, list[pos])
			list[pos] = list[len(list)-1]
			if byZone[zone] = list[:len(list)-1]; len(byZone[zone]) == 0 {
				delete(byZone, zone)
			}
		}
	}
	return out[:min(num, len(out))]
}

// probeLink fails if a server does not answer.
func (gat *Server) probeLink(ctx context.Context, ser registrar.Server) error {
	_, err := gat.pla.Engines.(linkedEngines).EngineClient.Report(ctx, ser)
	if isAnswer(err) {
		return nil
	}
	return err
}

func isAnswer(err error) bool {
	return err == nil || errors.Is(err, conductor.ErrServerReplaced) || errors.Is(err, conductor.ErrUnexpectedAnswer) || errors.Is(err, conductor.ErrOrderMismatch)
}

// onLinksChange announces to the other entries which services this one does not reach.
func (gat *Server) onLinksChange(silent []string) {
	gat.mtr.RecordSilentServices(len(silent))
	go gat.announce()
}

// announce sends what concerns all other entries at once to them, several times.
func (gat *Server) announce() {
	for _, delay := range announceDelays {
		gat.clk.Sleep(delay)
		gat.hea.Announce()
	}
}

// peersOf adapts the picker, which identifies services by hashes as heartbeats do.
type peersOf struct {
	*peerpicker.Picker
}

// Pick returns an entry that reaches a service.
func (pee peersOf) Pick(service string, exclude []string) (peerpicker.Peer, bool) {
	return pee.Picker.Pick(hash(service), exclude)
}

// Usable reports whether an entry reaches a service.
func (pee peersOf) Usable(service, name string) bool {
	return pee.Picker.Usable(hash(service), name)
}

// linkedEngines tells a backend server that has ended from one that this entry does not reach.
type linkedEngines struct {
	conductor.EngineClient
	lin *linkchecker.Checker
}

// Report fails like that of the wrapped client, but not with detector.ErrDown while the links are lost.
func (eng linkedEngines) Report(ctx context.Context, ser registrar.Server) (conductor.Report, error) {
	rep, err := eng.EngineClient.Report(ctx, ser)
	return rep, eng.judge(ser.Service, err)
}

// Order fails like that of the wrapped client, but not with detector.ErrDown while the links are lost.
func (eng linkedEngines) Order(ctx context.Context, ser registrar.Server, ord conductor.Order) error {
	return eng.judge(ser.Service, eng.EngineClient.Order(ctx, ser, ord))
}

func (eng linkedEngines) judge(service string, err error) error {
	if isAnswer(err) {
		eng.lin.RecordAnswer(service)
		return err
	}
	if errors.Is(err, detector.ErrDown) && eng.lin.ConfirmLost(service) {
		return errors.Errorf("gateserver: this entry reaches no backend server of %s: %v", service, err)
	}
	return err
}

// linkDialer opens connections to backend servers, and gives up at once while the links to their service are lost.
type linkDialer struct {
	net.Dialer
	lin *linkchecker.Checker
	// serviceAt returns the service of the server at an address, empty if there is none.
	serviceAt func(address string) string
	// isFar reports whether the server at an address is in another availability zone, and farBytes counts the bytes of connections there.
	isFar    func(address string) bool
	farBytes *atomic.Int64
}

// DialContext opens a connection whose first bytes prove that the links work. The links are checked if it does not open soon.
func (dia *linkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	service := dia.serviceAt(address)
	if service == "" {
		return dia.Dialer.DialContext(ctx, network, address)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := time.AfterFunc(slowDial, func() {
		if dia.lin.ConfirmLost(service) {
			cancel()
		}
	})
	defer slow.Stop()
	stop := make(chan struct{})
	defer close(stop)
	lost := dia.lin.LostSignal(service)
	go func() {
		select {
		case <-lost:
			cancel()
		case <-stop:
		}
	}()
	con, err := dia.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := con.(*net.TCPConn)
	if !ok {
		return con, nil
	}
	out := &linkConn{TCPConn: tcp, onAnswer: func() { dia.lin.RecordAnswer(service) }}
	if dia.isFar(address) {
		out.farBytes = dia.farBytes
	}
	return out, nil
}

// linkConn is a new connection to a backend server.
type linkConn struct {
	*net.TCPConn
	onAnswer func()
	once     sync.Once
	// farBytes is nil for a server in the own availability zone.
	farBytes *atomic.Int64
}

// Read reads from the connection; the first bytes prove that the links work.
func (con *linkConn) Read(buf []byte) (int, error) {
	num, err := con.TCPConn.Read(buf)
	if num > 0 {
		con.once.Do(con.onAnswer)
	}
	con.count(num)
	return num, err
}

// Write writes to the connection.
func (con *linkConn) Write(buf []byte) (int, error) {
	num, err := con.TCPConn.Write(buf)
	con.count(num)
	return num, err
}

func (con *linkConn) count(num int) {
	if con.farBytes != nil {
		con.farBytes.Add(int64(num))
	}
}

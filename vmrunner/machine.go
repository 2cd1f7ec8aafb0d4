package vmrunner

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
)

// Life is the part of the faults that every VM has; Kill stays set until the VM is revived.
type Life struct {
	disturber.Faults
	Kill     bool `json:"kill,omitempty"`
	Revive   bool `json:"revive,omitempty"`
	TurnCold bool `json:"turn_cold,omitempty"`
}

// Machine is the listener of one VM.
type Machine struct {
	dis  *disturber.Disturber
	all  *disturber.Disturber
	host *hoster.Host
	dead bool
}

// Wait returns once the VM is not paused or the context ends.
func (mac *Machine) Wait(ctx context.Context) {
	mac.dis.Wait(ctx)
	mac.all.Wait(ctx)
}

// Dead reports whether the VM is killed.
func (mac *Machine) Dead() bool {
	return mac.dead
}

// Turn kills or revives the VM on paper and reports whether it did; the caller holds its own lock, and calls Apply without it.
func (mac *Machine) Turn(lif *Life) bool {
	before := mac.dead
	if lif.Revive {
		mac.dead = false
	} else if lif.Kill {
		mac.dead = true
	}
	lif.Kill, lif.Revive, lif.TurnCold = mac.dead, false, false
	return mac.dead != before
}

// Apply opens or closes the listener and sets the faults of the VM.
func (mac *Machine) Apply(lif Life) error {
	if lif.Kill {
		mac.dis.Break()
	}
	if err := mac.dis.Set(lif.Faults); err != nil {
		return err
	}
	if lif.Kill {
		mac.host.Close()
		return nil
	}
	return mac.host.Start()
}

func newMachine(clk clockwork.Clock, all *disturber.Disturber, address string, handler http.Handler) *Machine {
	dis := disturber.New(clk)
	return &Machine{dis: dis, all: all, host: hoster.New(address, all.Wrap(dis.Wrap(handler)))}
}

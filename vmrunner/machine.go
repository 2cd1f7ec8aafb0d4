package vmrunner

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
)

// Life holds the faults that every VM supports in addition to its own; Kill stays set until the VM is revived.
type Life struct {
	disturber.Faults
	Kill     bool `json:"kill,omitempty"`
	Revive   bool `json:"revive,omitempty"`
	TurnCold bool `json:"turn_cold,omitempty"`
}

// Machine is the HTTP listener of one VM, with the faults of the VM and of the whole process applied.
type Machine struct {
	vmInjector      *disturber.Disturber
	processInjector *disturber.Disturber
	host            *hoster.Host
	killed          bool
}

// Wait blocks while the VM or the whole process is paused and returns early when the context ends.
func (mac *Machine) Wait(ctx context.Context) {
	mac.vmInjector.Wait(ctx)
	mac.processInjector.Wait(ctx)
}

// Dead reports whether the VM is killed.
func (mac *Machine) Dead() bool {
	return mac.killed
}

// Turn records whether the VM is killed and reports whether that changed; the caller holds its own lock during Turn and releases it before Apply, which opens or closes the listener.
func (mac *Machine) Turn(lif *Life) bool {
	before := mac.killed
	if lif.Revive {
		mac.killed = false
	} else if lif.Kill {
		mac.killed = true
	}
	lif.Kill, lif.Revive, lif.TurnCold = mac.killed, false, false
	return mac.killed != before
}

// Apply sets the faults of the VM and opens its listener, or aborts its requests and closes it when the VM is killed.
func (mac *Machine) Apply(lif Life) error {
	if lif.Kill {
		mac.vmInjector.Break()
	}
	if err := mac.vmInjector.Set(lif.Faults); err != nil {
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
	return &Machine{vmInjector: dis, processInjector: all, host: hoster.New(address, all.Wrap(dis.Wrap(handler)))}
}

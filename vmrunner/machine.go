package vmrunner

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
)

// CommonFaults holds the faults that every VM supports in addition to its own; Kill stays set until the VM is revived.
type CommonFaults struct {
	disturber.Faults
	Kill     bool `json:"kill,omitempty"`
	Revive   bool `json:"revive,omitempty"`
	TurnCold bool `json:"turn_cold,omitempty"`
}

// VMListener is the HTTP listener of one VM, with the faults of the VM and of the whole process applied.
type VMListener struct {
	vmInjector      *disturber.FaultInjector
	processInjector *disturber.FaultInjector
	host            *hoster.Server
	killed          bool
}

// WaitWhilePaused blocks while the VM or the whole process is paused and returns early when the context ends.
func (mac *VMListener) WaitWhilePaused(ctx context.Context) {
	mac.vmInjector.WaitWhilePaused(ctx)
	mac.processInjector.WaitWhilePaused(ctx)
}

// Killed reports whether the VM is killed.
func (mac *VMListener) Killed() bool {
	return mac.killed
}

// UpdateKilled records whether the VM is killed and reports whether that changed; the caller holds its own lock during UpdateKilled and releases it before ApplyFaults, which opens or closes the listener.
func (mac *VMListener) UpdateKilled(lif *CommonFaults) bool {
	before := mac.killed
	if lif.Revive {
		mac.killed = false
	} else if lif.Kill {
		mac.killed = true
	}
	lif.Kill, lif.Revive, lif.TurnCold = mac.killed, false, false
	return mac.killed != before
}

// ApplyFaults sets the faults of the VM and opens its listener, or aborts its requests and closes it when the VM is killed.
func (mac *VMListener) ApplyFaults(lif CommonFaults) error {
	if lif.Kill {
		mac.vmInjector.AbortRequests()
	}
	if err := mac.vmInjector.SetFaults(lif.Faults); err != nil {
		return err
	}
	if lif.Kill {
		mac.host.Close()
		return nil
	}
	return mac.host.Start()
}

func newMachine(clk clockwork.Clock, all *disturber.FaultInjector, address string, handler http.Handler) *VMListener {
	dis := disturber.New(clk)
	return &VMListener{vmInjector: dis, processInjector: all, host: hoster.New(address, all.Wrap(dis.Wrap(handler)))}
}

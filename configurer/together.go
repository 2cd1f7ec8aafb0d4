package configurer

import (
	"fmt"
	"net/netip"
	"time"
)

// checkCombinations reports settings that are valid alone but contradict each other.
func (rea *reader) checkCombinations() {
	set := rea.set
	rea.requireDifferent("rpc_address", set.RPCAddress, "address", set.Address)
	if rea.lines["advertise_address"]+rea.lines["advertise_rpc_address"] > 0 {
		rea.requireDifferent("advertise_rpc_address", set.AdvertiseRPCAddress, "advertise_address", set.AdvertiseAddress)
	}
	rea.requireSpecific("advertise_address", set.AdvertiseAddress, "address")
	rea.requireSpecific("advertise_rpc_address", set.AdvertiseRPCAddress, "rpc_address")
	rea.requireAtMost("probe_interval", set.ProbeInterval, "fresh_for", set.FreshFor)
	rea.requireAtMost("probe_interval", set.ProbeInterval, "suspect_after", set.SuspectAfter)
	rea.requireAtMost("queue_timeout", set.QueueTimeout, "request_timeout", set.RequestTimeout)
	rea.requireAtMost("request_timeout", set.RequestTimeout, "outcome_window", set.OutcomeWindow)
	rea.requireAtMost("request_timeout", set.RequestTimeout, "stop_timeout", set.StopTimeout)
}

func (rea *reader) requireDifferent(key, val, other, otherVal string) {
	if val != "" && val == otherVal {
		rea.report(rea.lineOf(key, other), key, "must differ from "+other)
	}
}

func (rea *reader) requireSpecific(key, val, base string) {
	adr, err := netip.ParseAddrPort(val)
	if err == nil && adr.Addr().IsUnspecified() {
		rea.report(rea.lineOf(key, base), key, fmt.Sprintf("%s can't be connected to", val))
	}
}

func (rea *reader) requireAtMost(key string, val time.Duration, other string, otherVal time.Duration) {
	if val > 0 && otherVal > 0 && val > otherVal {
		rea.report(rea.lineOf(key, other), key, fmt.Sprintf("%v must not be above %s, which is %v", val, other, otherVal))
	}
}

func (rea *reader) lineOf(keys ...string) int {
	for _, key := range keys {
		if line := rea.lines[key]; line > 0 {
			return line
		}
	}
	return rea.start
}

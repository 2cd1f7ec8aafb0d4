package configurer

import (
	"fmt"
	"net/netip"
	"time"
)

// checkTogether reports the settings that contradict each other.
func (rea *reader) checkTogether() {
	set := rea.set
	rea.notSame("rpc_address", set.RPCAddress, "address", set.Address)
	if rea.lines["advertise_address"]+rea.lines["advertise_rpc_address"] > 0 {
		rea.notSame("advertise_rpc_address", set.AdvertiseRPCAddress, "advertise_address", set.AdvertiseAddress)
	}
	rea.notAny("advertise_address", set.AdvertiseAddress, "address")
	rea.notAny("advertise_rpc_address", set.AdvertiseRPCAddress, "rpc_address")
	rea.notAbove("probe_interval", set.ProbeInterval, "fresh_for", set.FreshFor)
	rea.notAbove("probe_interval", set.ProbeInterval, "suspect_after", set.SuspectAfter)
	rea.notAbove("queue_timeout", set.QueueTimeout, "request_timeout", set.RequestTimeout)
	rea.notAbove("request_timeout", set.RequestTimeout, "outcome_window", set.OutcomeWindow)
	rea.notAbove("request_timeout", set.RequestTimeout, "stop_timeout", set.StopTimeout)
}

func (rea *reader) notSame(key, val, other, otherVal string) {
	if val != "" && val == otherVal {
		rea.report(rea.lineOf(key, other), key, "must differ from "+other)
	}
}

func (rea *reader) notAny(key, val, base string) {
	adr, err := netip.ParseAddrPort(val)
	if err == nil && adr.Addr().IsUnspecified() {
		rea.report(rea.lineOf(key, base), key, fmt.Sprintf("%s can't be connected to", val))
	}
}

func (rea *reader) notAbove(key string, val time.Duration, other string, otherVal time.Duration) {
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

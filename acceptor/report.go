package acceptor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// reportInterval is the shortest time between two log lines about closed connections.
const reportInterval = 10 * time.Second

// Reason says why a connection was closed or a request refused.
type Reason string

// The reasons: connections closed for want of room that had sent no whole request, that were idle, or whose request was not received whole; heads that were late or too large, and requests for which there was no room; messages that were late or too large; and failures to accept for want of descriptors.
const (
	Unfinished Reason = "unfinished"
	Idle       Reason = "idle"
	Receiving  Reason = "receiving"
	Late       Reason = "head_late"
	TooLarge   Reason = "head_too_large"
	NoRoom     Reason = "no_room"
	Exhausted  Reason = "no_descriptors"

	MessageLate     Reason = "message_late"
	MessageTooLarge Reason = "message_too_large"
)

// Reasons lists all reasons.
var Reasons = []Reason{Unfinished, Idle, Receiving, Late, TooLarge, NoRoom, Exhausted, MessageLate, MessageTooLarge}

// counts has how often each reason occurred; the acceptor's lock guards it.
type counts map[Reason]int64

// count counts one occurrence of a reason.
func (acc *Acceptor) count(why Reason) {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	acc.counts[why]++
}

// Count returns how often a reason has occurred.
func (acc *Acceptor) Count(why Reason) int64 {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	return acc.counts[why]
}

// Record records what connections need, and how often each reason has occurred.
func (acc *Acceptor) Record(sco tally.Scope) {
	num, bytes := acc.Use()
	sco.Gauge("connections").Update(float64(num))
	sco.Gauge("connection_bytes").Update(float64(bytes))
	for _, why := range Reasons {
		sco.Tagged(map[string]string{"cause": string(why)}).Gauge("client_refusals").Update(float64(acc.Count(why)))
	}
}

// Run logs, until the context ends, how many connections were closed and requests refused since the line before.
func (acc *Acceptor) Run(ctx context.Context) {
	before := map[Reason]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-acc.opt.Clock.After(reportInterval):
		}
		fields := logrus.Fields{}
		for _, why := range Reasons {
			num := acc.Count(why)
			if num > before[why] {
				fields[string(why)] = num - before[why]
			}
			before[why] = num
		}
		if len(fields) == 0 {
			continue
		}
		fields["connections"], fields["connection_bytes"] = acc.Use()
		acc.opt.Logger.WithFields(fields).Warn("clients closed or refused at the limits of connections")
	}
}

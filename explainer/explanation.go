package explainer

import (
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Unit is one backend server or replica group that the request could go to. Obstacle says why it can't go there now, empty if it can.
type Unit struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	InUse            int     `json:"in_use"`
	Slots            int     `json:"slots"`
	UnreadTokens     int     `json:"unread_tokens"`
	CommittedTokens  int     `json:"committed_tokens"`
	FirstEventMS     float64 `json:"first_event_ms,omitempty"`
	Obstacle         string  `json:"obstacle,omitempty"`
}

// Refusal is the answer that the request would get now instead of a place.
type Refusal struct {
	Status       int     `json:"status"`
	Message      string  `json:"message"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Explanation says where a request would go now. Units are in the order of preference, those of the entry's availability zone first; Preferred is the first of them, empty if the request would wait or be refused. The entry spreads requests over the units that are about as good. Leaving is the share of requests that goes to other zones.
type Explanation struct {
	Entry            string   `json:"entry"`
	AvailabilityZone string   `json:"availability_zone"`
	ConfigVersion    int64    `json:"config_version"`
	Route            string   `json:"route,omitempty"`
	Service          string   `json:"service,omitempty"`
	Pool             string   `json:"pool,omitempty"`
	Workspace        string   `json:"workspace,omitempty"`
	Priority         int      `json:"priority"`
	ObjectiveMS      int64    `json:"objective_ms,omitempty"`
	Waiting          int      `json:"waiting"`
	Leaving          float64  `json:"leaving_zone_share"`
	Preferred        string   `json:"preferred,omitempty"`
	Units            []Unit   `json:"units,omitempty"`
	Refusal          *Refusal `json:"refusal,omitempty"`
}

// Write prints the explanation as text.
func (exp Explanation) Write(dst io.Writer) error {
	out := &printer{dst: dst}
	out.printf("entry %s in %s, configuration %d\n", exp.Entry, exp.AvailabilityZone, exp.ConfigVersion)
	if exp.Route != "" {
		out.printf("route %s to %s, workspace %q, priority %d, first event within %d ms\n", exp.Route, exp.Pool, exp.Workspace, exp.Priority, exp.ObjectiveMS)
		out.printf("%d requests wait at this entry, %.2f of all leave the availability zone\n", exp.Waiting, exp.Leaving)
	}
	switch {
	case exp.Refusal != nil:
		out.printf("refused with status %d: %s", exp.Refusal.Status, exp.Refusal.Message)
		if exp.Refusal.RetryAfterMS > 0 {
			out.printf(" (retry after %.0f ms)", exp.Refusal.RetryAfterMS)
		}
		out.printf("\n")
	case exp.Preferred == "":
		out.printf("would wait in the queue\n")
	default:
		out.printf("would go to %s, or to one that is about as good\n", exp.Preferred)
	}
	for _, uni := range exp.Units {
		uni.write(out)
	}
	return errors.Annotate(out.err, "explainer: write")
}

func (uni Unit) write(out *printer) {
	out.printf("  %s in %s: %d of %d slots", uni.ID, uni.AvailabilityZone, uni.InUse, uni.Slots)
	if uni.FirstEventMS > 0 {
		out.printf(", %d prompt tokens unread, first event in %.0f ms", uni.UnreadTokens, uni.FirstEventMS)
	}
	if uni.Obstacle != "" {
		out.printf(" - %s", uni.Obstacle)
	}
	out.printf("\n")
}

// printer keeps the first error of several writes.
type printer struct {
	dst io.Writer
	err error
}

func (pri *printer) printf(format string, args ...any) {
	if pri.err == nil {
		_, pri.err = fmt.Fprintf(pri.dst, format, args...)
	}
}

package publisher_test

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/checker"
	"github.com/lovagelever/lovagelever/publisher"
	"github.com/lovagelever/lovagelever/requester"
)

// script answers from a list, and ends the context after it.
type script struct {
	publishes []error
	statuses  []requester.Status
	end       context.CancelFunc
	asked     []string
	ids       []string
}

func (scr *script) Addresses() []string { return []string{"one", "two"} }

func (scr *script) Publish(_ context.Context, address string, pub requester.Publication) (requester.Accepted, error) {
	scr.asked = append(scr.asked, address)
	scr.ids = append(scr.ids, pub.ID)
	err := scr.publishes[0]
	if len(scr.publishes) > 1 {
		scr.publishes = scr.publishes[1:]
	} else if err != nil {
		scr.end()
	}
	return requester.Accepted{Revision: 8, Offset: 80}, err
}

func (scr *script) Status(context.Context) (requester.Status, error) {
	sta := scr.statuses[0]
	if len(scr.statuses) > 1 {
		scr.statuses = scr.statuses[1:]
	} else {
		scr.end()
	}
	return sta, nil
}

// instantClock lets every pause end at once.
type instantClock struct{ clockwork.Clock }

func (instantClock) After(time.Duration) <-chan time.Time {
	now := make(chan time.Time, 1)
	now <- time.Time{}
	return now
}

func refused(status int, kind string) error {
	return errors.Annotate(&requester.Refusal{Status: status, Type: kind}, "entry")
}

func failed(kind errors.ConstError) error { return errors.Annotate(kind, "entry") }

var notRun = refused(http.StatusServiceUnavailable, requester.RefusedNotRun)

var sends = []struct {
	name    string
	answers []error
	want    error
	sent    int
}{
	{"accepted at once", []error{nil}, nil, 1},
	{"accepted after a lost answer", []error{failed(requester.ErrLostAnswer), nil}, nil, 2},
	{"accepted after an answer that is not readable", []error{failed(requester.ErrMalformed), nil}, nil, 2},
	{"accepted at the next entry", []error{failed(requester.ErrNoAnswer), notRun, nil}, nil, 3},
	{"made from an old revision", []error{refused(http.StatusConflict, "conflict")}, publisher.ErrConflict, 1},
	{"not valid", []error{refused(http.StatusUnprocessableEntity, "invalid")}, publisher.ErrInvalid, 1},
	{"too large", []error{refused(http.StatusRequestEntityTooLarge, "too_large")}, publisher.ErrNotAccepted, 1},
	{"never taken", []error{failed(requester.ErrNoAnswer), notRun}, publisher.ErrNotAccepted, 2},
	{"lost and then not taken", []error{failed(requester.ErrLostAnswer), notRun}, publisher.ErrOutcomeUnknown, 2},
	{"told unknown", []error{refused(http.StatusBadGateway, "outcome_unknown")}, publisher.ErrOutcomeUnknown, 1},
	{"refused by something else on the way", []error{refused(http.StatusServiceUnavailable, "")}, publisher.ErrOutcomeUnknown, 1},
}

func entry(name string, reachable, fresh bool, revision int64) requester.Entry {
	return requester.Entry{Name: name, Reachable: reachable, Fresh: fresh, Revision: revision}
}

func status(entries ...requester.Entry) requester.Status { return requester.Status{Entries: entries} }

var awaits = []struct {
	name     string
	statuses []requester.Status
	want     error
	lines    []string
}{
	{"everywhere", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 9))}, nil,
		[]string{"a: in force at revision 8", "b: in force at revision 9"}},
	{"everywhere after a while", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 7)), status(entry("a", true, true, 8), entry("b", true, true, 8))}, nil,
		[]string{"a: in force at revision 8", "b: in force at revision 8"}},
	{"but for one that is past its freshness limit", []requester.Status{status(entry("a", true, true, 8), entry("b", false, false, 7))}, nil,
		[]string{"a: in force at revision 8", "b: not reachable, past its freshness limit"}},
	{"but for one that is reachable and stale", []requester.Status{status(entry("a", true, true, 8), entry("b", true, false, 7))}, nil,
		[]string{"a: in force at revision 8", "b: reachable, past its freshness limit, at revision 7"}},
	{"not at one that may still take work", []requester.Status{status(entry("a", true, true, 8), entry("b", false, true, 7))}, publisher.ErrNotInForce,
		[]string{"a: in force at revision 8", "b: not reachable, may still take work at revision 7"}},
	{"not at one that is behind", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 7))}, publisher.ErrNotInForce,
		[]string{"a: in force at revision 8", "b: not in force yet, at revision 7"}},
	{"nowhere", []requester.Status{status(entry("a", false, false, 7))}, publisher.ErrNotInForce,
		[]string{"a: not reachable, past its freshness limit"}},
	{"at no entry", []requester.Status{status()}, publisher.ErrNotInForce, nil},
}

var _ = Describe("Publisher", func() {
	for _, cas := range sends {
		It("sends what is "+cas.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			scr := &script{publishes: cas.answers, end: cancel}
			acc, err := publisher.New(scr, instantClock{}).Send(ctx, checker.Publication{}, 7)
			if cas.want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(acc.Revision).To(BeEquivalentTo(8))
			} else {
				Expect(errors.Is(err, cas.want)).To(BeTrue(), "%v", err)
			}
			Expect(scr.ids).To(HaveLen(cas.sent))
			Expect(scr.ids).To(HaveEach(scr.ids[0]))
			Expect(uuid.MustParse(scr.ids[0]).Version()).To(BeEquivalentTo(7))
			Expect(scr.asked[0]).To(Equal("one"))
			if len(scr.asked) > 1 {
				Expect(scr.asked[1]).To(Equal("two"))
			}
		})
	}
	for _, cas := range awaits {
		It("waits until it is in force "+cas.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			scr := &script{statuses: cas.statuses, end: cancel}
			known, err := publisher.New(scr, instantClock{}).Await(ctx, 8)
			Expect(errors.Is(err, cas.want)).To(BeTrue(), "%v", err)
			var lines []string
			for _, std := range known {
				lines = append(lines, std.String())
			}
			Expect(lines).To(Equal(cas.lines))
		})
	}
})

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

// fakeEntries returns the listed answers in order; it cancels the context with the last one so that retries end.
type fakeEntries struct {
	publishErrors []error
	statuses      []requester.Status
	end           context.CancelFunc
	addresses     []string
	ids           []string
}

func (fak *fakeEntries) Addresses() []string { return []string{"one", "two"} }

func (fak *fakeEntries) Publish(_ context.Context, address string, pub requester.Publication) (requester.PublicationResult, error) {
	fak.addresses = append(fak.addresses, address)
	fak.ids = append(fak.ids, pub.ID)
	err := fak.publishErrors[0]
	if len(fak.publishErrors) > 1 {
		fak.publishErrors = fak.publishErrors[1:]
	} else if err != nil {
		fak.end()
	}
	return requester.PublicationResult{Revision: 8, Offset: 80}, err
}

func (fak *fakeEntries) Status(context.Context) (requester.Status, error) {
	sta := fak.statuses[0]
	if len(fak.statuses) > 1 {
		fak.statuses = fak.statuses[1:]
	} else {
		fak.end()
	}
	return sta, nil
}

// instantClock is a clock whose timers fire at once.
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

var sendCases = []struct {
	name    string
	answers []error
	want    error
	sent    int
}{
	{"accepted at once", []error{nil}, nil, 1},
	{"accepted after a lost answer", []error{failed(requester.ErrLostAnswer), nil}, nil, 2},
	{"accepted after a malformed answer", []error{failed(requester.ErrMalformed), nil}, nil, 2},
	{"accepted at the next entry", []error{failed(requester.ErrNoAnswer), notRun, nil}, nil, 3},
	{"made from an old revision", []error{refused(http.StatusConflict, "conflict")}, publisher.ErrConflict, 1},
	{"not valid", []error{refused(http.StatusUnprocessableEntity, "invalid")}, publisher.ErrInvalid, 1},
	{"too large", []error{refused(http.StatusRequestEntityTooLarge, "too_large")}, publisher.ErrNotAccepted, 1},
	{"never accepted", []error{failed(requester.ErrNoAnswer), notRun}, publisher.ErrNotAccepted, 2},
	{"lost and then not accepted", []error{failed(requester.ErrLostAnswer), notRun}, publisher.ErrOutcomeUnknown, 2},
	{"answered with an unknown outcome", []error{refused(http.StatusBadGateway, "outcome_unknown")}, publisher.ErrOutcomeUnknown, 1},
	{"refused by a proxy in between", []error{refused(http.StatusServiceUnavailable, "")}, publisher.ErrOutcomeUnknown, 1},
}

func entry(name string, reachable, fresh bool, revision int64) requester.Entry {
	return requester.Entry{Name: name, Reachable: reachable, Fresh: fresh, Revision: revision}
}

func status(entries ...requester.Entry) requester.Status { return requester.Status{Entries: entries} }

var awaitCases = []struct {
	name     string
	statuses []requester.Status
	want     error
	lines    []string
}{
	{"everywhere", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 9))}, nil,
		[]string{"a: in force at revision 8", "b: in force at revision 9"}},
	{"everywhere at the second status", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 7)), status(entry("a", true, true, 8), entry("b", true, true, 8))}, nil,
		[]string{"a: in force at revision 8", "b: in force at revision 8"}},
	{"except at an unreachable entry past its freshness limit", []requester.Status{status(entry("a", true, true, 8), entry("b", false, false, 7))}, nil,
		[]string{"a: in force at revision 8", "b: not reachable, past its freshness limit"}},
	{"except at a reachable entry past its freshness limit", []requester.Status{status(entry("a", true, true, 8), entry("b", true, false, 7))}, nil,
		[]string{"a: in force at revision 8", "b: reachable, past its freshness limit, at revision 7"}},
	{"but not at an entry that may still take work", []requester.Status{status(entry("a", true, true, 8), entry("b", false, true, 7))}, publisher.ErrNotInForce,
		[]string{"a: in force at revision 8", "b: not reachable, may still take work at revision 7"}},
	{"but not at an entry that is behind", []requester.Status{status(entry("a", true, true, 8), entry("b", true, true, 7))}, publisher.ErrNotInForce,
		[]string{"a: in force at revision 8", "b: not in force yet, at revision 7"}},
	{"nowhere", []requester.Status{status(entry("a", false, false, 7))}, publisher.ErrNotInForce,
		[]string{"a: not reachable, past its freshness limit"}},
	{"when the status has no entries", []requester.Status{status()}, publisher.ErrNotInForce, nil},
}

var _ = Describe("Publisher", func() {
	for _, cas := range sendCases {
		It("sends a publication that is "+cas.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fak := &fakeEntries{publishErrors: cas.answers, end: cancel}
			acc, err := publisher.New(fak, instantClock{}).Send(ctx, checker.Publication{}, 7)
			if cas.want == nil {
				Expect(err).NotTo(HaveOccurred())
				Expect(acc.Revision).To(BeEquivalentTo(8))
			} else {
				Expect(errors.Is(err, cas.want)).To(BeTrue(), "%v", err)
			}
			Expect(fak.ids).To(HaveLen(cas.sent))
			Expect(fak.ids).To(HaveEach(fak.ids[0]))
			Expect(uuid.MustParse(fak.ids[0]).Version()).To(BeEquivalentTo(7))
			Expect(fak.addresses[0]).To(Equal("one"))
			if len(fak.addresses) > 1 {
				Expect(fak.addresses[1]).To(Equal("two"))
			}
		})
	}
	for _, cas := range awaitCases {
		It("waits until the revision is in force "+cas.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			fak := &fakeEntries{statuses: cas.statuses, end: cancel}
			states, err := publisher.New(fak, instantClock{}).Await(ctx, 8)
			Expect(errors.Is(err, cas.want)).To(BeTrue(), "%v", err)
			var lines []string
			for _, est := range states {
				lines = append(lines, est.String())
			}
			Expect(lines).To(Equal(cas.lines))
		})
	}
})

package refuser_test

import (
	"bytes"
	"encoding/gob"
	"net/http/httptest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("Refusal", func() {
	cases := []struct {
		name   string
		ref    refuser.Refusal
		status int
		header string
		body   string
	}{
		{"not_run", refuser.NotRun("m", 1500*time.Millisecond), 503, "2", `{"error":{"type":"not_run","message":"m","request_id":"r","retry_after_ms":1500}}`},
		{"share used up", refuser.ShareExceeded("m", time.Microsecond), 429, "1", `{"error":{"type":"not_run","message":"m","request_id":"r","retry_after_ms":1}}`},
		{"outcome_unknown", refuser.OutcomeUnknown("m"), 502, "", `{"error":{"type":"outcome_unknown","message":"m","request_id":"r"}}`},
		{"invalid", refuser.Invalid("m"), 400, "", `{"error":{"type":"invalid","message":"m","request_id":"r"}}`},
		{"unknown name", refuser.NotFound("m"), 404, "", `{"error":{"type":"invalid","message":"m","request_id":"r"}}`},
		{"too_large", refuser.TooLarge("m"), 413, "", `{"error":{"type":"too_large","message":"m","request_id":"r"}}`},
		{"headers too large", refuser.HeadersTooLarge("m"), 431, "", `{"error":{"type":"too_large","message":"m","request_id":"r"}}`},
		{"expired", refuser.Expired("m"), 410, "", `{"error":{"type":"expired","message":"m","request_id":"r"}}`},
		{"condemned", refuser.Condemned("m"), 422, "", `{"error":{"type":"condemned","message":"m","request_id":"r"}}`},
		{"conflict", refuser.Conflict("m"), 409, "", `{"error":{"type":"conflict","message":"m","request_id":"r"}}`},
	}
	for _, tst := range cases {
		It("survives gob and is written as HTTP: "+tst.name, func() {
			var buf bytes.Buffer
			Expect(gob.NewEncoder(&buf).Encode(tst.ref.WithRequestID("r"))).To(Succeed())
			var got refuser.Refusal
			Expect(gob.NewDecoder(&buf).Decode(&got)).To(Succeed())
			rec := httptest.NewRecorder()
			Expect(got.Write(rec)).To(Succeed())
			Expect(rec.Code).To(Equal(tst.status))
			Expect(rec.Header().Get("Retry-After")).To(Equal(tst.header))
			Expect(rec.Header().Get("X-Request-Id")).To(Equal("r"))
			Expect(rec.Body.String()).To(MatchJSON(tst.body))
		})
	}

	ref := refuser.Condemned("m")
	errs := []struct {
		name string
		err  error
		want refuser.Type
	}{
		{"a refusal", ref, refuser.TypeCondemned},
		{"a pointer to a refusal", &ref, refuser.TypeCondemned},
		{"an annotated and traced refusal", errors.Annotate(errors.Trace(ref), "while"), refuser.TypeCondemned},
		{"any other error", errors.NotFoundf("x"), refuser.TypeOutcomeUnknown},
		{"no error", nil, refuser.TypeOutcomeUnknown},
	}
	for _, tst := range errs {
		It("is extracted from "+tst.name, func() {
			Expect(refuser.FromError(tst.err).Type).To(Equal(tst.want))
		})
	}
})

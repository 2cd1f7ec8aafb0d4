package explainer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/explainer"
)

var _ = Describe("Explanation", func() {
	que := explainer.Question{Host: "h", Path: "/p/", Workspace: "w", Model: "m", PromptTokens: 700, AnswerTokens: 60}

	It("survives its way over the network", func() {
		want := explainer.Explanation{Entry: "e", Route: "r", Pool: "s/m", Preferred: "u1", Units: []explainer.Unit{{ID: "u1", Slots: 4, FirstEventMS: 120}, {ID: "u2", Obstacle: "no free slot"}}}
		srv := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
			got, err := explainer.ParseQuestion(req.URL.Query())
			if err != nil || got != que || req.URL.Path != explainer.Path {
				wtr.WriteHeader(http.StatusBadRequest)
				return
			}
			_ = json.NewEncoder(wtr).Encode(want)
		}))
		DeferCleanup(srv.Close)
		address := srv.Listener.Addr().String()
		got, err := explainer.Ask(context.Background(), address, que)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		_, err = explainer.Ask(context.Background(), address, explainer.Question{})
		Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
	})

	It("fails clearly at an address that answers no questions", func() {
		srv := httptest.NewServer(http.NotFoundHandler())
		DeferCleanup(srv.Close)
		_, err := explainer.Ask(context.Background(), srv.Listener.Addr().String(), que)
		Expect(errors.Is(err, errors.NotFound)).To(BeTrue())
	})

	for _, query := range []string{"", "path=/p/&prompt_tokens=-1", "path=/p/&answer_tokens=many"} {
		It("is not given for "+query, func() {
			val, err := url.ParseQuery(query)
			Expect(err).NotTo(HaveOccurred())
			_, err = explainer.ParseQuestion(val)
			Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
		})
	}

	for _, cas := range []struct {
		exp  explainer.Explanation
		want string
	}{
		{explainer.Explanation{Refusal: &explainer.Refusal{Status: 404, Message: "no route"}}, "refused with status 404: no route\n"},
		{explainer.Explanation{Route: "r"}, "would wait in the queue\n"},
		{explainer.Explanation{Route: "r", Preferred: "u1"}, "would go to u1, or to one that is about as good\n"},
		{explainer.Explanation{Units: []explainer.Unit{{ID: "u2", Obstacle: "cold"}}}, "u2 in : 0 of 0 slots - cold\n"},
	} {
		It("is printed: "+cas.want, func() {
			var out bytes.Buffer
			Expect(cas.exp.Write(&out)).To(Succeed())
			Expect(out.String()).To(ContainSubstring(cas.want))
		})
	}
})

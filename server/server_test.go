package server

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/enginefaker"
)

// openChatBody is a request body without its closing brace, so that tests can add fields.
const openChatBody = `{"model": "scene-composer", "messages": [{"role": "user", "content": "to Gemas"}], "max_tokens": 6`

var _ = Describe("an entry", Ordered, func() {
	var sit *testSite

	BeforeAll(func() {
		inv := siteInventory()
		sit = newTestSite(inv)
		sit.awaitServing(inv)
	})

	AfterAll(func() { sit.stop() })

	text := strings.Join(enginefaker.AnswerTokens([]enginefaker.ChatMessage{{Role: "user", Content: "to Gemas"}}, 6), "")

	It("answers a completion that is not streamed", func() {
		rep := sit.send(http.MethodPost, "/v1/chat/completions", openChatBody+"}", "X-Workspace", "wedding-halls")
		Expect(rep.status).To(Equal(http.StatusOK), rep.body)
		Expect(rep.body).To(ContainSubstring(`"completion_tokens":6`))
		Expect(rep.body).To(ContainSubstring(text))
	})

	It("ends a completion at the caller's own timeout", func() {
		long := strings.Replace(openChatBody, `"max_tokens": 6`, `"max_tokens": 60000`, 1) + "}"
		rep := sit.send(http.MethodPost, "/v1/chat/completions", long, "X-Workspace", "wedding-halls", "X-Timeout-Ms", "100")
		Expect(rep.refusal().Type).To(BeElementOf("outcome_unknown", "not_run"), rep.body)
	})

	It("streams a completion to its end marker", func() {
		rep := sit.send(http.MethodPost, "/v1/chat/completions", openChatBody+`, "stream": true}`, "X-Workspace", "wedding-halls")
		Expect(rep.header.Get("Content-Type")).To(Equal("text/event-stream"))
		// Each of the 6 tokens and the usage comes in an event with the request ID.
		Expect(strings.Count(rep.body, rep.header.Get("X-Request-Id"))).To(Equal(7))
		Expect(rep.body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("replays the answer when an idempotency key is sent again", func() {
		key := uuid.Must(uuid.NewV7()).String()
		call := func(body string) reply {
			return sit.send(http.MethodPost, "/v1/services/venue-api/seats", body, "X-Workspace", "wedding-halls", "Idempotency-Key", key)
		}
		first, second := call(`{"seat": 4}`), call(`{"seat": 4}`)
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		Expect(second.body).To(Equal(first.body))
		Expect(second.header.Get("X-Replayed")).To(Equal("true"))
		Expect(call(`{"seat": 5}`).refusal().Type).To(Equal("conflict"))
	})

	refusals := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		kind    string
	}{
		{"no workspace", "POST", "/v1/chat/completions", openChatBody + "}", nil, 404, "invalid"},
		{"an unknown workspace", "POST", "/v1/chat/completions", openChatBody + "}", []string{"X-Workspace", "nobody"}, 404, "invalid"},
		{"a workspace that may not use the model", "POST", "/v1/chat/completions", openChatBody + "}", []string{"X-Workspace", "other"}, 404, "invalid"},
		{"an unknown model", "POST", "/v1/chat/completions", `{"model": "none", "messages": []}`, []string{"X-Workspace", "wedding-halls"}, 404, "invalid"},
		{"malformed JSON", "POST", "/v1/chat/completions", `{"model":`, []string{"X-Workspace", "wedding-halls"}, 400, "invalid"},
		{"messages that are not a list", "POST", "/v1/chat/completions", `{"model": "scene-composer", "messages": 4}`, []string{"X-Workspace", "wedding-halls"}, 400, "invalid"},
		{"too many tokens", "POST", "/v1/chat/completions", `{"model": "scene-composer", "messages": [], "max_tokens": 99999999}`, []string{"X-Workspace", "wedding-halls"}, 400, "invalid"},
		// The test site sets MaxBodyBytes to 4096.
		{"a body over the limit", "POST", "/v1/chat/completions", strings.Repeat("x", 5000), []string{"X-Workspace", "wedding-halls"}, 413, "too_large"},
		{"an invalid timeout", "POST", "/v1/chat/completions", openChatBody + "}", []string{"X-Workspace", "wedding-halls", "X-Timeout-Ms", "5s"}, 400, "invalid"},
		{"an unknown service", "GET", "/v1/services/none/x", "", []string{"X-Workspace", "wedding-halls"}, 404, "invalid"},
		{"an invalid idempotency key", "POST", "/v1/services/venue-api/x", "", []string{"X-Workspace", "wedding-halls", "Idempotency-Key", "mine"}, 400, "invalid"},
		{"an idempotency key of an entry that has left", "POST", "/v1/services/venue-api/x", "", []string{"X-Workspace", "wedding-halls", "Idempotency-Key", "entry-9.aaaaaaaa-aaaa.0/k"}, 502, "outcome_unknown"},
		{"an idempotency key that is too old", "POST", "/v1/services/venue-api/x", "", []string{"X-Workspace", "wedding-halls", "Idempotency-Key", "018f0000-0000-7000-8000-000000000000"}, 410, "expired"},
		{"an unknown path", "GET", "/v2", "", nil, 404, "invalid"},
		{"an invalid publication", "POST", "/v1/publications", `{"more": 1}`, nil, 400, "invalid"},
		{"a publication without an ID", "POST", "/v1/publications", `{"id": "4"}`, nil, 400, "invalid"},
		{"an unknown workspace to locate", "GET", "/v1/locate?workspace=nobody", "", nil, 404, "invalid"},
	}
	for _, row := range refusals {
		It("refuses "+row.name, func() {
			rep := sit.send(row.method, row.path, row.body, row.headers...)
			Expect(rep.status).To(Equal(row.status), rep.body)
			ref := rep.refusal()
			Expect(ref.Type).To(Equal(row.kind))
			Expect(ref.RequestID).NotTo(BeEmpty())
		})
	}

	It("refuses headers over the size limit", func() {
		// The limit is the default of acceptor.Limits.
		rep := sit.send("GET", "/healthz", "", "X-Flood", strings.Repeat("x", 128<<10))
		Expect(rep.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("refuses a publication from an old revision, and an invalid one", func() {
		inv := siteInventory()
		Expect(sit.publish(0, inv).refusal().Type).To(Equal("conflict"))
		inv.Workspaces["odd"] = inv.Workspaces["wedding-halls"]
		delete(inv.Models, "scene-composer")
		rep := sit.publish(1, inv)
		Expect(rep.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(rep.refusal().Message).To(ContainSubstring("workspaces"))
	})

	It("does not run a publication based on a revision that it has not applied", func() {
		Expect(sit.publish(9, siteInventory()).refusal().Type).To(Equal("not_run"))
	})

	It("answers a repeated publication like the first one", func() {
		body := `{"id": "` + uuid.Must(uuid.NewV7()).String() + `", "based_on": 1, "rules": {}}`
		first := sit.send("POST", "/v1/publications", body)
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		Expect(sit.send("POST", "/v1/publications", body).body).To(Equal(first.body))
	})

	It("refuses a request permanently once it has crashed the engine twice", func() {
		crash := strings.Replace(openChatBody, "to Gemas", "crash-the-engine", 1) + "}"
		Eventually(func() string {
			rep := sit.send(http.MethodPost, "/v1/chat/completions", crash, "X-Workspace", "wedding-halls")
			return rep.refusal().Type
		}).Should(Equal("condemned"))
		Eventually(func() int {
			return sit.send(http.MethodPost, "/v1/chat/completions", openChatBody+"}", "X-Workspace", "wedding-halls").status
		}).Should(Equal(http.StatusOK))
	})

	for _, example := range examples("../docs/CALLING.md") {
		It("answers the documented "+example.name(), func() {
			loc := sit.locate()
			key := strings.NewReplacer("$KEY_PREFIX", loc.KeyPrefix, "$UUID7", uuid.Must(uuid.NewV7()).String())
			rep := example.run(sit, key)
			Expect(rep.status).To(Equal(example.wantStatus()), rep.body)
		})
	}

	It("counts requests for /v1/burn and /metrics", func() {
		Expect(sit.send("GET", "/v1/burn", "").body).To(ContainSubstring(`"class":"non_idempotent_call"`))
		Eventually(func() string { return sit.send("GET", "/metrics", "").body }).Should(ContainSubstring("lovagelever_requests"))
	})
})

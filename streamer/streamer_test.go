package streamer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streamer")
}

type tokens struct {
	next int
	text strings.Builder
	each func(index int) error
}

func (tok *tokens) Token(index int, content []byte) error {
	Expect(index).To(Equal(tok.next))
	tok.next++
	tok.text.Write(content)
	if tok.each != nil {
		return tok.each(index)
	}
	return nil
}

func event(id string, index int, content string) string {
	return fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","index":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`+"\n\n", id, index, content)
}

func last(id string, index, count int) string {
	return fmt.Sprintf(`data: {"id":%q,"index":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":9}}`+"\n\n", id, index, count)
}

const done = "data: [DONE]\n\n"

func brokenBy(err error) *BrokenError {
	var bro *BrokenError
	Expect(errors.As(err, &bro)).To(BeTrue(), "%v", err)
	return bro
}

func serve(handle http.HandlerFunc) (*Streamer, string) {
	srv := httptest.NewServer(handle)
	DeferCleanup(srv.Close)
	return New(srv.Client()), srv.Listener.Addr().String()
}

func serveBody(body string) (*Streamer, string) {
	return serve(func(wri http.ResponseWriter, _ *http.Request) { io.WriteString(wri, body) })
}

var _ = Describe("Stream", func() {
	two := event("r", 0, "a") + event("r", 1, "b\n\"ü")

	It("passes each token once and in order, and the whole answer's counts", func(ctx SpecContext) {
		str, adr := serve(func(wri http.ResponseWriter, req *http.Request) {
			Expect(req.Header).To(HaveKeyWithValue("X-Resume-From", []string{"1"}))
			Expect(req.Header).To(HaveKeyWithValue("X-Fence", []string{"7"}))
			Expect(req.Header).To(HaveKeyWithValue("X-Cold-Limit", []string{"4"}))
			Expect(req.Header).To(HaveKeyWithValue("X-Group", []string{"g"}))
			io.WriteString(wri, ": comment\r\n"+event("r", 1, "b\n\"ü")+"event: x\n"+event("r", 2, "c")+last("r", 3, 3)+done)
		})
		tok := &tokens{next: 1}
		res, err := str.Stream(ctx, Call{Address: adr, Group: "g", Fence: 7, ColdLimit: 4, RequestID: "r", ResumeFrom: 1}, tok)
		Expect(err).NotTo(HaveOccurred())
		Expect(res).To(Equal(Result{Tokens: 3, PromptTokens: 3, Finish: "stop"}))
		Expect(tok.text.String()).To(Equal("b\n\"üc"))
	})

	broken := []struct {
		name   string
		body   string
		tokens int
		reason Reason
	}{
		{"a chunk of another request", two + event("q", 2, "c") + last("r", 3, 3) + done, 2, ReasonCrossed},
		{"a last chunk of another request", two + last("q", 2, 2) + done, 2, ReasonCrossed},
		{"a repeated chunk", two + event("r", 1, "b"), 2, ReasonRepeated},
		{"a gap", two + event("r", 3, "d"), 2, ReasonGap},
		{"a last chunk after a gap", two + last("r", 3, 3) + done, 2, ReasonGap},
		{"no last chunk", two + done, 2, ReasonNoEnd},
		{"no end marker", two + last("r", 2, 2), 2, ReasonNoEnd},
		{"another count of tokens", two + last("r", 2, 3) + done, 2, ReasonUsage},
		{"no count of tokens", two + `data: {"id":"r","index":2,"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n" + done, 2, ReasonUsage},
		{"a chunk after the last one", two + last("r", 2, 2) + event("r", 2, "c") + done, 2, ReasonMalformed},
		{"half a line", two + `data: {"id":"r","ind`, 2, ReasonNoEnd},
		{"half a chunk", two + `data: {"id":"r","ind` + "\n\n", 2, ReasonMalformed},
		{"a chunk without index", `data: {"id":"r","choices":[]}` + "\n\n", 0, ReasonMalformed},
		{"a line over the limit", two + "data: " + strings.Repeat("x", MaxLine) + "\n", 2, ReasonLineSize},
		{"nothing", "", 0, ReasonNoEnd},
	}
	for _, bro := range broken {
		It("is broken by "+bro.name, func(ctx SpecContext) {
			str, adr := serveBody(bro.body)
			tok := &tokens{}
			_, err := str.Stream(ctx, Call{Address: adr, RequestID: "r"}, tok)
			Expect(brokenBy(err).Tokens).To(Equal(bro.tokens))
			Expect(brokenBy(err).Reason).To(Equal(bro.reason))
			Expect(tok.next).To(Equal(bro.tokens))
		})
	}

	refusals := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"an old fence", 409, `{"fence": 9}`, &NotStartedError{Reason: ReasonFence}},
		{"a cold engine", 503, `{"reason": "cold"}`, &NotStartedError{Reason: ReasonCold}},
		{"an engine that is not ready", 503, `{"reason": "not_ready"}`, &NotStartedError{Reason: ReasonNotReady}},
		{"an overloaded engine", 503, `{"reason": "overloaded"}`, &NotStartedError{Reason: ReasonOverloaded}},
		{"a wrong request", 400, `no`, &RejectedError{Status: 400, Body: []byte("no")}},
	}
	for _, rsl := range refusals {
		It("types the refusal of "+rsl.name, func(ctx SpecContext) {
			str, adr := serve(func(wri http.ResponseWriter, _ *http.Request) {
				wri.WriteHeader(rsl.status)
				io.WriteString(wri, rsl.body)
			})
			_, err := str.Stream(ctx, Call{Address: adr, RequestID: "r"}, &tokens{})
			Expect(err).To(Equal(rsl.want))
		})
	}

	It("does not take a 503 without a known reason, or a 500, for not started", func(ctx SpecContext) {
		for _, status := range []int{503, 500, 302} {
			str, adr := serve(func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(status) })
			_, err := str.Stream(ctx, Call{Address: adr, RequestID: "r", ResumeFrom: 4}, &tokens{})
			Expect(brokenBy(err).Tokens).To(Equal(4))
		}
	})

	It("says not started when nothing listens", func(ctx SpecContext) {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		lis.Close()
		_, err = New(&http.Client{}).Stream(ctx, Call{Address: lis.Addr().String(), RequestID: "r"}, &tokens{})
		Expect(err).To(BeAssignableToTypeOf(&NotStartedError{}))
	})

	It("passes nothing on after a cancel, though chunks have come", func(ctx SpecContext) {
		str, adr := serveBody(two + event("r", 2, "c") + last("r", 3, 3) + done)
		running, cancel := context.WithCancel(ctx)
		tok := &tokens{each: func(int) error { cancel(); return nil }}
		_, err := str.Stream(running, Call{Address: adr, RequestID: "r"}, tok)
		Expect(brokenBy(err).Reason).To(Equal(ReasonCancelled))
		Expect(tok.next).To(Equal(1))
	})

	It("ends at the sink's error without counting that token", func(ctx SpecContext) {
		str, adr := serveBody(two + last("r", 2, 2) + done)
		tok := &tokens{each: func(int) error { return io.ErrClosedPipe }}
		_, err := str.Stream(ctx, Call{Address: adr, RequestID: "r"}, tok)
		Expect(err).To(MatchError(io.ErrClosedPipe))
		Expect(brokenBy(err).Tokens).To(Equal(0))
	})
})

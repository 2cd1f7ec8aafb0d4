package streamer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

const benchTokens = 1000

func benchBody() []byte {
	var out strings.Builder
	for num := range benchTokens {
		out.WriteString(tokenEvent("01890a5d-ac96-774b-bcce-b302099a8057", num, " token"))
	}
	out.WriteString(finalEvent("01890a5d-ac96-774b-bcce-b302099a8057", benchTokens, benchTokens) + endEvent)
	return []byte(out.String())
}

func BenchmarkStream(b *testing.B) {
	body := benchBody()
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		rea := reader{ctx: context.Background(), sink: &countingSink{}, id: []byte("01890a5d-ac96-774b-bcce-b302099a8057")}
		if err := rea.read(bytes.NewReader(body)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

func BenchmarkPlainCopy(b *testing.B) {
	body := benchBody()
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	buf := make([]byte, MaxLine)
	for b.Loop() {
		if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{bytes.NewReader(body)}, buf); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

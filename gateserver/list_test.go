package gateserver_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/platform/decoder"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

var _ = Describe("List of backend servers", func() {
	var gat *gateserver.Server
	listed := func(id string, fields string) tailer.Record {
		return tailer.Record{Key: id, Value: fmt.Appendf(nil, `{"service":"s","addr":"127.0.0.1:9","zone":"z","state":"ready","slots":4,"born":1%s}`, fields)}
	}
	serving := func() []string {
		var out []string
		for _, uni := range gat.Units() {
			out = append(out, uni.ServerID)
		}
		return out
	}
	BeforeEach(func() {
		log, _ := logtest.NewNullLogger()
		pla := platform(&store{})
		pla.DecodeOperatorRecord = func(tailer.Record) (gateserver.OperatorRecord, error) {
			return gateserver.OperatorRecord{Config: &router.Config{Version: 1, Services: map[string]router.Service{"s": {Name: "s"}}}}, nil
		}
		pla.DecodeServer = func(rec tailer.Record, now time.Time) (registrar.Server, error) {
			return decoder.Server(rec.Key, rec.Value, now)
		}
		set := settings("edge")
		set.Listen.Entries = "127.0.0.1:0"
		var err error
		gat, err = gateserver.New(set, pla, clockwork.NewFakeClock(), log.WithField("entry", "edge"))
		Expect(err).NotTo(HaveOccurred())
		gat.ApplyRecords([]tailer.Record{{Key: "config"}}, []tailer.Record{listed("w0", ""), listed("w1", "")})
		Expect(serving()).To(ConsistOf("w0", "w1"))
	})

	It("keeps a server that is removed and listed again in one batch", func() {
		gat.ApplyRecords(nil, []tailer.Record{{Key: "w1"}, listed("w1", "")})
		Expect(serving()).To(ConsistOf("w0", "w1"))
	})

	It("removes a server that is listed and removed in one batch", func() {
		gat.ApplyRecords(nil, []tailer.Record{listed("w1", ""), {Key: "w1"}})
		Expect(serving()).To(ConsistOf("w0"))
	})
})

package gateserver_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/platform/decoder"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

var _ = Describe("List of backend servers", func() {
	var gat *gateserver.Server
	var hook *logtest.Hook
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
		var log *logrus.Logger
		log, hook = logtest.NewNullLogger()
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

	for _, cas := range []struct{ name, fields string }{
		{"nested deeply", `,"models":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000)},
		{"with nested unknown fields", `,"x":` + strings.Repeat(`{"y":`, 9000) + `1` + strings.Repeat(`}`, 9000)},
		{"with a number too large", `,"slots":1e400`},
		{"with a port out of range", `,"addr":"127.0.0.1:99999"`},
		{"of a negative number of slots", `,"slots":-7`},
	} {
		It("stands beside a record of another writer, logged once: "+cas.name, func() {
			odd := listed("odd", cas.fields)
			for range 3 {
				gat.ApplyRecords(nil, []tailer.Record{odd, listed("w1", "")})
			}
			Expect(serving()).To(ContainElements("w0", "w1"))
			warnings := 0
			for _, ent := range hook.AllEntries() {
				if ent.Level == logrus.WarnLevel {
					warnings++
					Expect(ent.Data).To(HaveKeyWithValue("server", "odd"))
				}
			}
			Expect(warnings).To(BeNumerically("<=", 1))
		})
	}
})

package gateserver_test

import (
	"fmt"
	"runtime"
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
	var clk *clockwork.FakeClock
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
		clk = clockwork.NewFakeClock()
		gat, err = gateserver.New(set, pla, clk, log.WithField("entry", "edge"))
		Expect(err).NotTo(HaveOccurred())
		gat.ApplyRecords([]tailer.Record{{Key: "config"}}, []tailer.Record{listed("w0", ""), listed("w1", "")})
		Expect(serving()).To(ConsistOf("w0", "w1"))
	})

	It("keeps a server that is removed and listed again in one batch", func() {
		gat.ApplyRecords(nil, []tailer.Record{{Key: "w1"}, listed("w1", "")})
		Expect(serving()).To(ConsistOf("w0", "w1"))
	})

	It("keeps a server that the store lists again two seconds after its return", func() {
		gat.ApplyServers(tailer.Change{Records: []tailer.Record{{Key: "w1"}}, Outage: true, Returned: clk.Now()})
		clk.Advance(2200 * time.Millisecond)
		gat.Expire()
		gat.ApplyServers(tailer.Change{Records: []tailer.Record{listed("w0", "")}})
		Expect(serving()).To(ConsistOf("w0", "w1"))
	})

	// Guards against requests to servers that are gone, at entries that hear late of a removal that looks like one of an outage.
	for _, known := range []time.Duration{0, 600 * time.Millisecond, time.Minute} {
		It(fmt.Sprintf("keeps a server that disappeared around an outage no longer if other entries knew that %s earlier", known), func() {
			gat.ApplyServers(tailer.Change{Records: []tailer.Record{{Key: "w1", KnownFor: known}}, Outage: true})
			if left := registrar.RelistTimeout - known; left > 0 {
				clk.Advance(left - time.Millisecond)
				gat.Expire()
				gat.ApplyServers(tailer.Change{Records: []tailer.Record{listed("w0", "")}})
				Expect(serving()).To(ConsistOf("w0", "w1"))
				clk.Advance(time.Millisecond)
			}
			gat.Expire()
			gat.ApplyServers(tailer.Change{Records: []tailer.Record{listed("w0", "")}})
			Expect(serving()).To(ConsistOf("w0"))
		})
	}

	It("removes a server that is listed and removed in one batch", func() {
		gat.ApplyRecords(nil, []tailer.Record{listed("w1", ""), {Key: "w1"}})
		Expect(serving()).To(ConsistOf("w0"))
	})

	warnings := func() (servers []string) {
		for _, ent := range hook.AllEntries() {
			if ent.Level == logrus.WarnLevel {
				servers = append(servers, fmt.Sprint(ent.Data["server"]))
				Expect(len(fmt.Sprint(ent.Data[logrus.ErrorKey]))).To(BeNumerically("<", 1000))
			}
		}
		return servers
	}
	for _, cas := range []struct {
		name, fields string
		used         bool
	}{
		{"nested deeply", `,"models":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000), false},
		{"with nested unknown fields", `,"x":` + strings.Repeat(`{"y":`, 9000) + `1` + strings.Repeat(`}`, 9000), true},
		{"with a number too large", `,"slots":1e400`, false},
		{"with a number of many digits", `,"slots":` + strings.Repeat("9", 100_000), false},
		{"with a port out of range", `,"addr":"127.0.0.1:99999"`, false},
		{"of a negative number of slots", `,"slots":-7`, false},
	} {
		It("stands beside a record of another writer, logged once: "+cas.name, func() {
			for num := range 3 {
				// The first record is read three times, and each heartbeat writes another one.
				for off := range int64(num + 1) {
					odd := listed("odd", cas.fields)
					odd.Offset = off
					gat.ApplyRecords(nil, []tailer.Record{listed("w2", ""), odd, listed("w1", "")})
				}
			}
			if cas.used {
				Expect(serving()).To(ConsistOf("w0", "w1", "w2", "odd"))
				Expect(warnings()).To(BeEmpty())
				return
			}
			Expect(serving()).To(ConsistOf("w0", "w1", "w2"))
			Expect(warnings()).To(Equal([]string{"odd"}))
		})
	}

	It("logs a record that cannot be used again after one that can, or another cause", func() {
		for _, fields := range []string{`,"slots":-7`, "", `,"slots":-7`, `,"slots":-8`} {
			gat.ApplyRecords(nil, []tailer.Record{listed("odd", fields)})
		}
		Expect(warnings()).To(Equal([]string{"odd", "odd", "odd"}))
	})

	// Guards against a new state of all servers for each of the records that cannot be used.
	It("spends little memory on each of many records that cannot be used", func() {
		var page []tailer.Record
		for num := range 760 {
			page = append(page, listed(fmt.Sprint("s", num), ""))
		}
		gat.ApplyRecords(nil, page)
		page = nil
		for num := range 400 {
			page = append(page, listed(fmt.Sprint("odd", num), `,"slots":-7`))
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		gat.ApplyRecords(nil, append(page, listed("w2", "")))
		runtime.ReadMemStats(&after)
		perRecord := (after.TotalAlloc - before.TotalAlloc) / uint64(len(page))
		GinkgoWriter.Printf("%d bytes for each record\n", perRecord)
		Expect(perRecord).To(BeNumerically("<", 32<<10))
		Expect(serving()).To(HaveLen(760 + 3))
	})
})

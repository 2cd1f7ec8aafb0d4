package chronicler_test

import (
	"bytes"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/chronicler"
)

// stuck is an output that nobody reads.
type stuck struct {
	free chan struct{}
	buf  bytes.Buffer
}

func (stu *stuck) Write(line []byte) (int, error) {
	<-stu.free
	return stu.buf.Write(line)
}

var _ = Describe("Chronicler", func() {
	It("never waits for its output, and counts what it drops", func() {
		out := &stuck{free: make(chan struct{})}
		chr := chronicler.New(out, 4)
		began := time.Now()
		for range 100 {
			_, err := chr.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(chr.Dropped()).To(BeNumerically(">=", 95))
		close(out.free)
		chr.Close()
		Expect(out.buf.Len()).To(Equal((100 - int(chr.Dropped())) * len("line\n")))
	})
})

var _ = Describe("Numberer", func() {
	It("numbers the lines of a process", func() {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetFormatter(&logrus.JSONFormatter{})
		log.AddHook(chronicler.NewNumberer())
		entry := log.WithField("entry", "e")
		entry.Info("one")
		entry.Warn("two")
		dec := json.NewDecoder(&out)
		for want := 1; want <= 2; want++ {
			var lin struct{ Seq int }
			Expect(dec.Decode(&lin)).To(Succeed())
			Expect(lin.Seq).To(Equal(want))
		}
	})
})

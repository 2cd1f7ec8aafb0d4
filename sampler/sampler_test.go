package sampler_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/sampler"
)

var _ = Describe("Processes", func() {
	It("reads the processes with the prefix and their resource use", func() {
		name := filepath.Join(GinkgoT().TempDir(), "pids")
		text := fmt.Sprintf("%d entry-1\n%d log\n", os.Getpid(), os.Getppid())
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		pros, err := sampler.Processes(name, "entry-")
		Expect(err).NotTo(HaveOccurred())
		Expect(pros).To(Equal([]sampler.Process{{ID: os.Getpid(), Name: "entry-1"}}))
		size, err := pros[0].ResidentMemory()
		Expect(err).NotTo(HaveOccurred())
		Expect(size).To(BeNumerically(">", 0))
		_, err = pros[0].CPUTime()
		Expect(err).NotTo(HaveOccurred())
	})
	It("rejects a line without a process ID", func() {
		name := filepath.Join(GinkgoT().TempDir(), "pids")
		Expect(os.WriteFile(name, []byte("entry-1\n"), 0o600)).To(Succeed())
		_, err := sampler.Processes(name, "")
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Scrape", func() {
	It("reads values with labels", func() {
		srv := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, _ *http.Request) {
			_, _ = wtr.Write([]byte("# HELP a b\na{peer=\"x y\"} 1.5\nb 2e+06\n"))
		}))
		defer srv.Close()
		met, err := sampler.Scrape(context.Background(), strings.TrimPrefix(srv.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		Expect(met).To(Equal(sampler.Metrics{`a{peer="x y"}`: 1.5, "b": 2e6}))
	})
})

package tailer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTailer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tailer")
}

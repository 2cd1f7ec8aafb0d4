package introducer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIntroducer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "introducer")
}

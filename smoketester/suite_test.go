package smoketester

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSmokeTester(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "smoketester")
}

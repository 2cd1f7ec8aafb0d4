package linkchecker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLinkChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "linkchecker")
}

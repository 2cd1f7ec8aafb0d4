package cataloger_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCataloger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cataloger")
}

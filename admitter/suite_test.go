package admitter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admitter")
}

package trier

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTrier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trier")
}

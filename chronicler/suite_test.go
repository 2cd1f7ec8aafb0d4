package chronicler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChronicler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chronicler")
}

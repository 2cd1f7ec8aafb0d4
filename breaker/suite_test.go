package breaker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBreaker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Breaker")
}

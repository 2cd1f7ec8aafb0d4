package retrier_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetrier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Retrier")
}

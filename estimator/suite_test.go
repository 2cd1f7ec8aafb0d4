package estimator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEstimator(tst *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(tst, "estimator")
}

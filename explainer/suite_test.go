package explainer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExplainer(tst *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(tst, "explainer")
}

package permitter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that the specs run in.
var suite *testing.T

func TestPermitter(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "permitter")
}

package gateconfigurer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateconfigurer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateconfigurer")
}

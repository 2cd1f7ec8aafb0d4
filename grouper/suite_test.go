package grouper_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGrouper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grouper")
}

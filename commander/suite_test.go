package commander_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommander(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commander")
}

package heartbeater_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHeartbeater(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "heartbeater")
}

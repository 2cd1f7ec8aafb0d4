package spiller_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpiller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spiller")
}

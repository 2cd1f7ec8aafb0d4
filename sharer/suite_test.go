package sharer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSharer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sharer")
}

package gossiper_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGossiper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossiper")
}

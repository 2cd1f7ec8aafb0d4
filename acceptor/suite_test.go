package acceptor_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAcceptor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "acceptor")
}

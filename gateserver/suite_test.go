package gateserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGateServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateserver")
}

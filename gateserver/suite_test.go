package gateserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestGateServer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateserver")
}

package peerpicker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeerPicker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerpicker")
}

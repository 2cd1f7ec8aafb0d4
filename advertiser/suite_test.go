package advertiser_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdvertiser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "advertiser")
}

package hoster_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hoster")
}

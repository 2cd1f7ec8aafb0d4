package refuser_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRefuser(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Refuser")
}

package confirmer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfirmer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confirmer")
}

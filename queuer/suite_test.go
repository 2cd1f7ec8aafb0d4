package queuer_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQueuer(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	if num := os.Getenv("LOVAGELEVER_SEEDS"); num != "" {
		Expect(flag.Set("rapid.checks", num)).To(Succeed())
	}
	RunSpecs(t, "Queuer")
}

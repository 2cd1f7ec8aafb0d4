package reducer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReducer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reducer")
}

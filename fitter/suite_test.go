package fitter_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fitter")
}

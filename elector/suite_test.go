package elector_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestElector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "elector")
}

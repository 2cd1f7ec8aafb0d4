package fitter_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/fitter"
)

var lines = []struct {
	name string
	xs   []float64
	ys   []float64
	want fitter.Line
}{
	{"no point", nil, nil, fitter.Line{}},
	{"one point", []float64{3}, []float64{5}, fitter.Line{Intercept: 5}},
	{"points with the same x", []float64{3, 3}, []float64{4, 6}, fitter.Line{Intercept: 5}},
	{"points on a line", []float64{1, 2, 4}, []float64{5, 7, 11}, fitter.Line{Intercept: 3, Slope: 2}},
	{"points off the line", []float64{0, 1, 2}, []float64{0, 3, 0}, fitter.Line{Intercept: 1}},
}

var _ = Describe("Fit", func() {
	for _, cas := range lines {
		It("fits "+cas.name, func() {
			lin := fitter.Fit(cas.xs, cas.ys)
			Expect(lin.Intercept).To(BeNumerically("~", cas.want.Intercept, 1e-9))
			Expect(lin.At(2)).To(BeNumerically("~", cas.want.At(2), 1e-9))
		})
	}
})

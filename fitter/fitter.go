package fitter

// Line is Base + Slope * x.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// Fit returns the line with the least squares through the points; fewer than two different x give a flat line.
func Fit(xs, ys []float64) Line {
	if len(xs) == 0 {
		return Line{}
	}
	midX, midY := mean(xs), mean(ys)
	var both, square float64
	for i, pos := range xs {
		both += (pos - midX) * (ys[i] - midY)
		square += (pos - midX) * (pos - midX)
	}
	if square == 0 {
		return Line{Base: midY}
	}
	slope := both / square
	return Line{Base: midY - slope*midX, Slope: slope}
}

// At returns the value of the line.
func (lin Line) At(pos float64) float64 {
	return lin.Base + lin.Slope*pos
}

func mean(vals []float64) float64 {
	sum := 0.0
	for _, val := range vals {
		sum += val
	}
	return sum / float64(len(vals))
}

package fitter

// Line is Intercept + Slope * x.
type Line struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
}

// Fit returns the least-squares line through the points; with fewer than two different x values the line is flat.
func Fit(xs, ys []float64) Line {
	if len(xs) == 0 {
		return Line{}
	}
	midX, midY := mean(xs), mean(ys)
	var covariance, variance float64
	for i, pos := range xs {
		covariance += (pos - midX) * (ys[i] - midY)
		variance += (pos - midX) * (pos - midX)
	}
	if variance == 0 {
		return Line{Intercept: midY}
	}
	slope := covariance / variance
	return Line{Intercept: midY - slope*midX, Slope: slope}
}

// At returns the value of the line at x = pos.
func (lin Line) At(pos float64) float64 {
	return lin.Intercept + lin.Slope*pos
}

func mean(vals []float64) float64 {
	sum := 0.0
	for _, val := range vals {
		sum += val
	}
	return sum / float64(len(vals))
}

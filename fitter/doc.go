// Package fitter fits straight lines to measured points.
package fitter

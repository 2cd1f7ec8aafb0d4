// Package fitter fits lines to measured points.
package fitter

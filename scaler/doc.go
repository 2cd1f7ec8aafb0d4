// Package scaler measures what control costs at one size of a deployment.
package scaler

// Package scaler measures the control cost of a deployment of one size: CPU time, memory, traffic, and the latency of changes and takeovers.
package scaler

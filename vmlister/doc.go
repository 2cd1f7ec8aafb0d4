// Package vmlister simulates the platform's VM list, which shows changes after a delay.
package vmlister

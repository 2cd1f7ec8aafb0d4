// Package vmlistfaker simulates the platform's VM list, which shows changes after a delay.
package vmlistfaker

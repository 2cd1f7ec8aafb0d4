// Package rig starts entries as separate processes between small stand-ins of the platform, for the scripts of the review.
package rig

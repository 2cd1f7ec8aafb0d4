// Package review holds the cases of an independent review; its tests run only with the build tag soak.
package review

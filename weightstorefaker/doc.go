// Package weightstorefaker simulates the platform's rate-limited weight store over HTTP.
package weightstorefaker

// Package observer watches how many replica groups of a deployment serve.
package observer

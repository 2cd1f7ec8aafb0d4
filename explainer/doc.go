// Package explainer asks a running entry where a request would go now and why,
// without sending it, and prints the answer.
package explainer

// Package router finds the route and the workspace of a request in the active configuration.
package router

// Package router finds the route and the workspace of a request in the configuration in force.
package router

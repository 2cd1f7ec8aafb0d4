// Package registrar tracks the backend servers that the platform lists and derives which replica groups can serve requests.
package registrar

// Package registrar keeps what the platform's list says of backend servers and derives which replica groups serve.
package registrar

// Command standin runs a small stand-in of a platform service or a backend server.
package main

// Command standin runs a small stand-in of a platform service or a backend server.
package main

import (
	"os"

	"github.com/lovagelever/lovagelever/standcommander"
)

func main() {
	os.Exit(standcommander.Main())
}

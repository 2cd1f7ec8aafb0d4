package main

import (
	"os"

	"github.com/lovagelever/lovagelever/standcommander"
)

func main() {
	os.Exit(standcommander.Main())
}

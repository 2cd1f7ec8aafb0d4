package main

import (
	"os"

	"github.com/lovagelever/lovagelever/standincommander"
)

func main() {
	os.Exit(standincommander.Main())
}

package main

import (
	"os"

	"github.com/lovagelever/lovagelever/measurecommander"
)

func main() {
	os.Exit(measurecommander.Main())
}

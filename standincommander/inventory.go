package standincommander

import (
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"github.com/lovagelever/lovagelever/cataloger"
)

type inventoryFile struct {
	Inventory cataloger.Inventory `yaml:"inventory"`
}

func inventoryFlag() cli.Flag {
	return &cli.StringFlag{Name: "inventory", Required: true, Usage: "YAML `FILE` with the key inventory"}
}

func readInventory(path string) (cataloger.Inventory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return cataloger.Inventory{}, errors.Annotate(err, "standincommander: read inventory")
	}
	var fil inventoryFile
	if err := yaml.Unmarshal(data, &fil); err != nil {
		return cataloger.Inventory{}, errors.NewNotValid(err, "standincommander: inventory "+path)
	}
	return fil.Inventory, nil
}

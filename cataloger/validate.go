package cataloger

// Problem is one fault of a catalog; Path leads to it, such as "inventory.vms.a1.fabric_domain".
type Problem struct {
	Path    string
	Message string
}

// Validate returns every fault of a catalog, in the order of their paths.
func Validate(cat Catalog) []Problem {
	return nil
}

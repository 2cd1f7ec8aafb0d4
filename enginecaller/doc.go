// Package enginecaller sends orders to model engines: to load, stage or unload a model.
package enginecaller

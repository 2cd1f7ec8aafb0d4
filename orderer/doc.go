// Package orderer sends orders to model engines: to load, stage or unload a model.
package orderer

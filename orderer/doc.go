// Package orderer sends orders to model engines.
package orderer

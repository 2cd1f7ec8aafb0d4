// Package configurer reads, checks and prints the settings of one entry.
package configurer

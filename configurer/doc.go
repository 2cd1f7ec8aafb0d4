// Package configurer reads the settings of one entry.
package configurer

// Package pinpointer ties problems of a YAML file to their line and key.
package pinpointer

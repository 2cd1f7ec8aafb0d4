// Package yamlparser parses YAML files and reports problems with their file, line and key.
package yamlparser

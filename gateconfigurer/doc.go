// Package gateconfigurer reads the settings of an entry that serves callers on a platform.
package gateconfigurer

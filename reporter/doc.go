// Package reporter builds the report on error-budget burn from the request counts of all entries.
package reporter

// Package reporter makes the report on service-level burn from the counts of all entries.
package reporter

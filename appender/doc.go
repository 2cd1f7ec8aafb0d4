// Package appender appends records to the log and waits for their results.
package appender

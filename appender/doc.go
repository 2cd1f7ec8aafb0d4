// Package appender appends records to the log and finds out what became of them.
package appender

// Package recorder defines the records of the log and their encoding.
package recorder

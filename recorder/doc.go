// Package recorder defines the log's records and their encoding.
package recorder

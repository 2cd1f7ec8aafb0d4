// Package coster compares requests through an entry with the same requests sent to the engines.
package coster

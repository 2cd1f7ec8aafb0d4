// Package reserver decides how much memory an entry may hold for callers and backend servers that read slowly.
package reserver

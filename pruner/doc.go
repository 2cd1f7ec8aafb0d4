// Package pruner withdraws the registrations of entries that are gone for good, so that the others divide common limits among those that are there.
package pruner

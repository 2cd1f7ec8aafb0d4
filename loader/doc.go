// Package loader sends requests of a mix at a rate that does not depend on the answers, and notes how each ended.
package loader

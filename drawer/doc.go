// Package drawer draws measured series as lines.
package drawer

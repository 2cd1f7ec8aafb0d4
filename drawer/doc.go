// Package drawer plots measured series as lines.
package drawer

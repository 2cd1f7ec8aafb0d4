// Package executor carries out the planner's decisions for the regions that this entry controls.
package executor

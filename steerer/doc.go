// Package steerer carries out what the planner decides for the regions that this entry controls.
package steerer

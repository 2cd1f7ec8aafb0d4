// Package investigator finds out which broken attempts were crashes of backend servers, and exchanges the evidence with the other entries.
package investigator

// Package burner counts requests that met their objectives, over short and long windows.
package burner

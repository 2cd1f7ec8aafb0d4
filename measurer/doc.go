// Command measurer measures a running deployment.
package main

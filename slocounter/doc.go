// Package slocounter counts requests and those that met their objectives over short and long windows.
package slocounter

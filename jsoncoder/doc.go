// Package jsoncoder reads and writes JSON bodies over HTTP.
package jsoncoder

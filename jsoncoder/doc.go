// Package jsoncoder reads and writes JSON request and response bodies over HTTP.
package jsoncoder

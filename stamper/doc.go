// Package stamper remembers when numbered messages were sent, so that their
// receiver can find out how long one was on the way.
package stamper

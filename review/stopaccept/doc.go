// Command stopaccept stops an entry as planned and sends it streams meanwhile whose answers are longer than their callers expect.
//
// It exits with 1 if an answer that counts ends before it is whole, 0 if none
// does, and 2 if the case could not run.
package main

// Command caller acts as a caller of a deployment and checks what it is answered.
package main

// Command stand plays the scripted cases of this review: it starts entries as separate processes beside stand-ins of the store, the workers and the clients, and judges what these have seen.
package main

// Command lovagelever serves language models whose replicas span several VMs.
package main

func main() {}

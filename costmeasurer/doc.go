// Package costmeasurer measures the latency and CPU time of requests sent through an entry, through a copier or directly to the engines.
package costmeasurer

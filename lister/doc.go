// Package lister reads the platform's VM list, which lags behind the actual state.
//
// The list grows with the deployment, so the entries of a region take turns
// reading it and tell the others which VMs are leaving.
package lister

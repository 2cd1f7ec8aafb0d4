package heartbeater

// Accept handles a received heartbeat, and reports whether it is taken.
func (hea *Heartbeater) Accept(bea Heartbeat) bool { return hea.accept(bea) }

// ReceiveTotals handles received totals.
func (hea *Heartbeater) ReceiveTotals(tot Totals) { hea.receiveTotals(EncodeTotals(tot)) }

// Expire removes the entries that have become silent.
func (hea *Heartbeater) Expire() { hea.expire() }

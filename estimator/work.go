package estimator

// Work is what one unit has to do for the requests that it runs.
type Work struct {
	// Requests is the number of requests.
	Requests int
	// Unread is the number of their prompt tokens that are not read yet.
	Unread int
	// Committed is the number of tokens for which they need memory at their peak.
	Committed int
}

// Plus returns the sum of two amounts of work.
func (wor Work) Plus(oth Work) Work {
	return Work{Requests: wor.Requests + oth.Requests, Unread: wor.Unread + oth.Unread, Committed: wor.Committed + oth.Committed}
}

// Minus returns the difference of two amounts of work, at least zero each.
func (wor Work) Minus(oth Work) Work {
	return Work{Requests: max(0, wor.Requests-oth.Requests), Unread: max(0, wor.Unread-oth.Unread), Committed: max(0, wor.Committed-oth.Committed)}
}

// IsZero reports whether there is no work.
func (wor Work) IsZero() bool {
	return wor == Work{}
}

// Demand is the work that callers ask for, per second.
type Demand struct {
	// Requests, PromptTokens and AnswerTokens are rates per second.
	Requests     float64
	PromptTokens float64
	AnswerTokens float64
}

// Plus returns the sum of two demands.
func (dem Demand) Plus(oth Demand) Demand {
	return Demand{Requests: dem.Requests + oth.Requests, PromptTokens: dem.PromptTokens + oth.PromptTokens, AnswerTokens: dem.AnswerTokens + oth.AnswerTokens}
}

package agatestage

import (
	"context"
	"time"
)

// Limiter admits requests within the rate and burst of their organisation, which
// apply to the fleet as a whole.
type Limiter interface {
	// Admit takes one token of the organisation. It waits for a token until the
	// context ends or the implementation's own time limit is reached, and returns a
	// *Refusal with CodeRateLimited if it gets none.
	Admit(ctx context.Context, organisation string) error
}

// Rate is the token bucket policy of one organisation.
type Rate struct {
	// PerSecond is the refill rate in requests per second.
	PerSecond float64
	// Burst is the capacity of the bucket in requests.
	Burst float64
}

// RateSource returns the policy of an organisation in the configuration that is in
// force in this process, or false if the organisation doesn't exist.
type RateSource interface {
	Rate(organisation string) (Rate, bool)
}

// RefillTime returns the time in which the rate refills n tokens.
func (rate Rate) RefillTime(n float64) time.Duration {
	if rate.PerSecond <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(n / rate.PerSecond * float64(time.Second))
}

// TokenSource supplies the tokens for a limiter's queue. Its methods don't block.
type TokenSource interface {
	// Take takes one token of the organisation if one is available.
	Take(organisation string) bool
	// SetWaiting reports how many requests of the organisation wait for a token.
	SetWaiting(organisation string, waiting int)
}

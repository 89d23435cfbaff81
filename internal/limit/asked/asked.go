// Package asked limits organisations by asking one owner about each request. It
// never admits more than the rate and burst while an organisation has a single
// owner, and each request waits for the owner's reply. The package is a baseline
// for measurements.
package asked

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// Ask requests tokens for waiting requests.
type Ask struct {
	Organisation string
	Count        int
}

// Owner holds the buckets of the organisations that it owns.
type Owner struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	mutex  sync.Mutex
	began  time.Time
	levels map[string]*level
}

// level is the state of one organisation's bucket: its tokens at the time at.
type level struct {
	tokens float64
	at     time.Time
}

// NewOwner returns an owner whose buckets are empty at first, because it doesn't
// know how many tokens a former owner has granted.
func NewOwner(clock agatestage.Clock, rates agatestage.RateSource) *Owner {
	return &Owner{clock: clock, rates: rates, began: clock.Now(), levels: make(map[string]*level)}
}

// Handle returns how many of the requests are admitted.
func (owner *Owner) Handle(ask Ask) int {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	rate, ok := owner.rates.Rate(ask.Organisation)
	if !ok {
		return 0
	}
	now := owner.clock.Now()
	found := owner.levels[ask.Organisation]
	if found == nil {
		found = &level{at: owner.began}
		owner.levels[ask.Organisation] = found
	}
	found.tokens = min(rate.Burst, found.tokens+rate.PerSecond*now.Sub(found.at).Seconds())
	found.at = now
	given := min(ask.Count, int(found.tokens))
	found.tokens -= float64(given)
	return given
}

// Client asks an owner about each request. It implements agatestage.TokenSource.
type Client struct {
	clock agatestage.Clock
	mutex sync.Mutex
	needs map[string]*need
}

// need is the state of one organisation's requests.
type need struct {
	// waiting is the number of requests that wait for a token.
	waiting int
	tokens  int
	// asked is the number of tokens requested and not replied to.
	asked int
	retry time.Time
}

// retryAfter is the pause after an owner had no token or didn't reply.
const retryAfter = 50 * time.Millisecond

// NewClient returns a client without tokens.
func NewClient(clock agatestage.Clock) *Client {
	return &Client{clock: clock, needs: make(map[string]*need)}
}

func (client *Client) need(organisation string) *need {
	found := client.needs[organisation]
	if found == nil {
		found = &need{}
		client.needs[organisation] = found
	}
	return found
}

// Take implements agatestage.TokenSource.
func (client *Client) Take(organisation string) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found := client.need(organisation)
	if found.tokens == 0 {
		return false
	}
	found.tokens--
	return true
}

// SetWaiting implements agatestage.TokenSource.
func (client *Client) SetWaiting(organisation string, waiting int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.need(organisation).waiting = waiting
}

// Poll returns the messages to owners that are due, one for each waiting request
// that no owner has been asked about.
func (client *Client) Poll() (asks []Ask) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	for organisation, need := range client.needs {
		if now.Before(need.retry) {
			continue
		}
		for need.asked+need.tokens < need.waiting {
			need.asked++
			asks = append(asks, Ask{Organisation: organisation, Count: 1})
		}
	}
	return asks
}

// Receive applies the reply to an Ask.
func (client *Client) Receive(ask Ask, given int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found := client.need(ask.Organisation)
	found.asked = max(0, found.asked-ask.Count)
	found.tokens += given
	if given == 0 {
		found.retry = client.clock.Now().Add(retryAfter)
	}
}

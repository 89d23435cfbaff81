// Package asked limits organisations by asking one owner for each request. It
// never sells too much while there is one owner, and each request waits for the
// answer. It is a measured baseline.
package asked

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// Ask wants tokens for requests that wait.
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

type level struct {
	tokens float64
	at     time.Time
}

// NewOwner returns an owner whose buckets begin empty, as it can't know what a
// former owner has given.
func NewOwner(clock agatestage.Clock, rates agatestage.RateSource) *Owner {
	return &Owner{clock: clock, rates: rates, began: clock.Now(), levels: make(map[string]*level)}
}

// Handle returns how many of the requests may go on.
func (owner *Owner) Handle(ask Ask) int {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	rate, ok := owner.rates.Rate(ask.Organisation)
	if !ok {
		return 0
	}
	now := owner.clock.Now()
	entry := owner.levels[ask.Organisation]
	if entry == nil {
		entry = &level{at: owner.began}
		owner.levels[ask.Organisation] = entry
	}
	entry.tokens = min(rate.Burst, entry.tokens+rate.PerSecond*now.Sub(entry.at).Seconds())
	entry.at = now
	given := min(ask.Count, int(entry.tokens))
	entry.tokens -= float64(given)
	return given
}

// Client asks for each request. It implements agatestage.TokenSource.
type Client struct {
	clock agatestage.Clock
	mutex sync.Mutex
	needs map[string]*need
}

type need struct {
	waiting int
	tokens  int
	asked   int
	retry   time.Time
}

// retryAfter is the pause after an owner had no token or was not heard.
const retryAfter = 50 * time.Millisecond

// NewClient returns a client.
func NewClient(clock agatestage.Clock) *Client {
	return &Client{clock: clock, needs: make(map[string]*need)}
}

func (client *Client) need(organisation string) *need {
	entry := client.needs[organisation]
	if entry == nil {
		entry = &need{}
		client.needs[organisation] = entry
	}
	return entry
}

// Take implements agatestage.TokenSource.
func (client *Client) Take(organisation string) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	entry := client.need(organisation)
	if entry.tokens == 0 {
		return false
	}
	entry.tokens--
	return true
}

// SetWaiting implements agatestage.TokenSource.
func (client *Client) SetWaiting(organisation string, waiting int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.need(organisation).waiting = waiting
}

// Poll returns the requests to owners that are due, one for each request that
// waits and has not been asked for.
func (client *Client) Poll() (asks []Ask) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	for organisation, entry := range client.needs {
		if now.Before(entry.retry) {
			continue
		}
		for entry.asked+entry.tokens < entry.waiting {
			entry.asked++
			asks = append(asks, Ask{Organisation: organisation, Count: 1})
		}
	}
	return asks
}

// Receive takes the answer to an ask.
func (client *Client) Receive(ask Ask, given int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	entry := client.need(ask.Organisation)
	entry.asked = max(0, entry.asked-ask.Count)
	entry.tokens += given
	if given == 0 {
		entry.retry = client.clock.Now().Add(retryAfter)
	}
}

// Package share tells which organisations use more than their share of a service's slots.
//
// The use of an organisation is the mean number of slots that its online calls hold at the
// targets of a service, over all gateways, with exponential forgetting. Its share is the use
// of all organisations, divided by weight. An organisation that uses more and asks for clearly
// more than the others, by weight, is over its share. It gets a rank above 0, and calls of
// lower ranks go first. All other organisations have rank 0 and are served in order of arrival,
// so that one that has been idle goes before those that are over their shares and before nobody
// else.
//
// Usual loads are not in proportion to weights. Where an organisation's usual use is known, it
// is over its share only if what it asks for has grown clearly more than for the others, so that
// organisations that grow alike in a peak are all served in order of arrival. Usual use is
// measured only while no call waits: a flood doesn't become usual while others wait because of it.
//
// All state is soft. Each gateway reports its largest accounts to the others and adds what
// they report.
package share

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agatestage/agatestage"
)

const (
	// useTime is the time constant of the use: some times longer than most calls hold a slot,
	// so that single calls don't decide, and short enough that an organisation is within its
	// share again seconds after it has stopped.
	useTime = 3 * time.Second
	// updatePeriod is how often ranks are computed: more often than other gateways report. It
	// costs 1 ms of processor time where 400 do.
	updatePeriod = 100 * time.Millisecond
	// minUse is the use in slots below which an organisation isn't active.
	minUse = 0.05
	// forgottenUse is the use in slots below which an account is dropped.
	forgottenUse = 0.001
	// maxAccounts bounds the accounts of a gateway, some 100 bytes each. Calls of further
	// organisations don't count.
	maxAccounts = 4096
)

// key identifies the account of an organisation at a service. Hashes keep reports small,
// however long the names are.
type key struct {
	service      uint32
	organisation uint64
}

func serviceKey(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

func keyOf(service, organisation string) key {
	return key{service: serviceKey(service), organisation: xxhash.Sum64String(organisation)}
}

// account is the use of one organisation at this gateway.
type account struct {
	service, organisation string
	// running is the number of slots in use, use its mean at the time updated.
	running int
	use     float64
	updated time.Time
	// asked and began are the numbers of calls that have asked for a slot and got one, with
	// exponential forgetting.
	asked, began float64
	weight       float64
	// logged is when the account's rank was last logged.
	logged time.Time
}

// advance advances the mean to now.
func (account *account) advance(now time.Time) {
	if elapsed := now.Sub(account.updated); elapsed > 0 {
		part := decayed(elapsed, useTime)
		account.use += part * (float64(account.running) - account.use)
		account.asked -= part * account.asked
		account.began -= part * account.began
		account.updated = now
	}
}

// demand returns the mean number of slots that the organisation's calls would hold if each
// got one.
func (account *account) demand() float64 {
	if account.asked <= account.began {
		return account.use
	}
	// One more call each bounds the quotient where few calls got slots.
	return account.use * (account.asked + 1) / (account.began + 1)
}

// decayed returns the part of a mean that is replaced within a time.
func decayed(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// Ledger holds the accounts of one gateway and what the others report, and computes the ranks.
//
// The load that it handles: one organisation sends many times its usual load, within its rate,
// and not all calls of a service can be served.
type Ledger struct {
	clock agatestage.Clock
	// weight returns the configured rate of an organisation, or 0 if none is.
	weight   func(organisation string) float64
	mutex    sync.Mutex
	accounts map[key]*account
	peers    map[string]*peer
	services map[uint32]*service
	updated  time.Time
	// reports is the number of reports made.
	reports int
}

// New returns a ledger without accounts. The function weight returns the configured rate of an
// organisation, or 0 if none is.
func New(clock agatestage.Clock, weight func(organisation string) float64) *Ledger {
	return &Ledger{
		clock: clock, weight: weight,
		accounts: make(map[key]*account), peers: make(map[string]*peer), services: make(map[uint32]*service),
	}
}

// Ask records that an online call of the organisation asks for a slot.
func (ledger *Ledger) Ask(service, organisation string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if account := ledger.account(service, organisation); account != nil {
		account.asked++
	}
}

// Begin records that an online call of the organisation has got a slot.
func (ledger *Ledger) Begin(service, organisation string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if account := ledger.account(service, organisation); account != nil {
		account.began++
		account.running++
	}
}

// account returns an organisation's account as of now, or nil if there are too many. The mutex
// must be held.
func (ledger *Ledger) account(service, organisation string) *account {
	now, at := ledger.clock.Now(), keyOf(service, organisation)
	found := ledger.accounts[at]
	if found == nil {
		if len(ledger.accounts) >= maxAccounts {
			return nil
		}
		found = &account{service: service, organisation: organisation, updated: now}
		ledger.accounts[at] = found
	}
	found.advance(now)
	found.weight = ledger.weight(organisation)
	return found
}

// End records that such a call has released its slot.
func (ledger *Ledger) End(service, organisation string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if found := ledger.accounts[keyOf(service, organisation)]; found != nil {
		found.advance(ledger.clock.Now())
		found.running = max(0, found.running-1)
	}
}

// Wait records that an online call waits for a slot of the service, or is refused for want of
// one.
func (ledger *Ledger) Wait(service string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.service(serviceKey(service)).wait(ledger.clock.Now())
}

// WaitLong records that a call within its share has waited for long: the slots of its gateway
// don't suffice for such calls.
func (ledger *Ledger) WaitLong(service string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.service(serviceKey(service)).waitLong(ledger.clock.Now())
}

// Rank returns the rank of the organisation's calls for the service as of the last Update.
func (ledger *Ledger) Rank(service, organisation string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	at := keyOf(service, organisation)
	if known := ledger.services[at.service]; known != nil {
		return known.ranks[at.organisation]
	}
	return 0
}

// Short reports whether calls wait for slots of the service or have waited lately, here or at
// another gateway.
func (ledger *Ledger) Short(service string) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known := ledger.services[serviceKey(service)]
	return known != nil && known.short(ledger.clock.Now())
}

// Yields reports whether calls over their shares must leave slots free for other gateways,
// where calls within their shares wait for long or have lately.
func (ledger *Ledger) Yields(service string) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known := ledger.services[serviceKey(service)]
	return known != nil && recent(known.waitedLong, ledger.clock.Now(), yieldTTL)
}

// OthersOver returns the mean number of slots of the service that organisations over their
// shares hold at the other gateways, and OwnWithin what those within their shares hold here.
func (ledger *Ledger) OthersOver(service string) float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if known := ledger.services[serviceKey(service)]; known != nil {
		return known.othersOver
	}
	return 0
}

// OwnWithin returns the mean number of slots of the service that organisations within their
// shares hold at this gateway.
func (ledger *Ledger) OwnWithin(service string) float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if known := ledger.services[serviceKey(service)]; known != nil {
		return known.ownWithin
	}
	return 0
}

// Waiting returns the number of gateways at which calls wait for slots of the service, with
// this one.
func (ledger *Ledger) Waiting(service string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count, now, at := 1, ledger.clock.Now(), serviceKey(service)
	for _, peer := range ledger.peers {
		if now.Sub(peer.received) < reportTTL && slices.Contains(peer.report.Waits, at) {
			count++
		}
	}
	return count
}

// service returns the state of a service. It creates one if there is none. The mutex must be
// held.
func (ledger *Ledger) service(at uint32) *service {
	found := ledger.services[at]
	if found == nil {
		found = newService()
		ledger.services[at] = found
	}
	return found
}

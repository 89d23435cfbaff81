// Package quota limits organisations as the Federated ResourceQuota design does:
// every host may use the whole remaining quota, and a controller reconciles the
// hosts periodically.
//
// The design states that hosts used in parallel can exceed the quota between two
// reconciliations. The package is a baseline for measurements and isn't used for
// serving.
//
// Source: "Federated ResourceQuota Requirements & Design" (Xu, Rehman, Zhang).
package quota

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// Period is the time between two reconciliations.
const Period = time.Second

// Usage is a host's use of an organisation's quota since the host's last report.
type Usage struct {
	Organisation string
	Used         float64
}

// Remaining is the part of an organisation's quota that all hosts together may
// still use.
type Remaining struct {
	Organisation string
	Tokens       float64
}

// Controller holds the quotas of the federation.
type Controller struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	mutex  sync.Mutex
	levels map[string]*level
}

// level is the remaining quota of one organisation at the time at.
type level struct {
	tokens float64
	at     time.Time
}

// NewController returns a controller with full quotas.
func NewController(clock agatestage.Clock, rates agatestage.RateSource) *Controller {
	return &Controller{clock: clock, rates: rates, levels: make(map[string]*level)}
}

// Reconcile deducts a host's usage and returns the remaining quotas.
func (controller *Controller) Reconcile(usages []Usage) (remaining []Remaining) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.clock.Now()
	for _, usage := range usages {
		rate, ok := controller.rates.Rate(usage.Organisation)
		if !ok {
			continue
		}
		found := controller.levels[usage.Organisation]
		if found == nil {
			found = &level{tokens: rate.Burst, at: now}
			controller.levels[usage.Organisation] = found
		}
		found.tokens = min(rate.Burst, found.tokens+rate.PerSecond*now.Sub(found.at).Seconds()) - usage.Used
		found.at = now
		remaining = append(remaining, Remaining{Organisation: usage.Organisation, Tokens: max(0, found.tokens)})
	}
	return remaining
}

// Host holds one entry's copy of the quotas. It implements agatestage.TokenSource.
type Host struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	mutex  sync.Mutex
	quotas map[string]*quota
	next   time.Time
}

// quota is a host's copy of one organisation's remaining quota, and what the host has
// used since its last report.
type quota struct {
	left   float64
	used   float64
	active time.Time
}

// NewHost returns a host with the whole quota of each organisation.
func NewHost(clock agatestage.Clock, rates agatestage.RateSource) *Host {
	return &Host{clock: clock, rates: rates, quotas: make(map[string]*quota)}
}

// Take implements agatestage.TokenSource.
func (host *Host) Take(organisation string) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	found := host.quotas[organisation]
	if found == nil {
		rate, _ := host.rates.Rate(organisation)
		found = &quota{left: rate.Burst}
		host.quotas[organisation] = found
	}
	found.active = host.clock.Now()
	if found.left < 1 {
		return false
	}
	found.left--
	found.used++
	return true
}

// SetWaiting implements agatestage.TokenSource. It does nothing, because the next
// reconciliation updates the quota.
func (host *Host) SetWaiting(string, int) {}

// Poll returns the usage to report if a reconciliation is due.
func (host *Host) Poll() (usages []Usage) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	now := host.clock.Now()
	if now.Before(host.next) {
		return nil
	}
	host.next = now.Add(Period)
	for organisation, quota := range host.quotas {
		if now.Sub(quota.active) < 2*Period || quota.used > 0 {
			usages = append(usages, Usage{Organisation: organisation, Used: quota.used})
			quota.used = 0
		}
	}
	return usages
}

// Receive sets the quotas to what remains, less the use since the report. It
// returns the organisations concerned.
func (host *Host) Receive(remaining []Remaining) (granted []string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, update := range remaining {
		if quota := host.quotas[update.Organisation]; quota != nil {
			quota.left = max(0, update.Tokens-quota.used)
			granted = append(granted, update.Organisation)
		}
	}
	return granted
}

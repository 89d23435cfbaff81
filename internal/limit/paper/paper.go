// Package paper limits organisations the way the Federated ResourceQuota design
// does: every host has the whole remaining quota, and a controller reconciles
// them from time to time.
//
// The design says itself that hosts used in parallel can consume more than the
// quota between two reconciliations. It is kept here as a measured baseline and
// is not used for serving.
//
// Source: "Federated ResourceQuota Requirements & Design" (Xu, Rehman, Zhang).
package paper

import (
	"sync"
	"time"

	"github.com/agatestage/agatestage"
)

// Period is the time between two reconciliations.
const Period = time.Second

// Usage is what a host has used of an organisation's quota since its last report.
type Usage struct {
	Organisation string
	Used         float64
}

// Remaining is what all hosts together may still use.
type Remaining struct {
	Organisation string
	Tokens       float64
}

// Controller holds the federation's quota.
type Controller struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	mutex  sync.Mutex
	levels map[string]*level
}

type level struct {
	tokens float64
	at     time.Time
}

// NewController returns a controller with full quotas.
func NewController(clock agatestage.Clock, rates agatestage.RateSource) *Controller {
	return &Controller{clock: clock, rates: rates, levels: make(map[string]*level)}
}

// Reconcile takes a host's usage and returns what remains.
func (controller *Controller) Reconcile(usages []Usage) (remaining []Remaining) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.clock.Now()
	for _, usage := range usages {
		rate, ok := controller.rates.Rate(usage.Organisation)
		if !ok {
			continue
		}
		entry := controller.levels[usage.Organisation]
		if entry == nil {
			entry = &level{tokens: rate.Burst, at: now}
			controller.levels[usage.Organisation] = entry
		}
		entry.tokens = min(rate.Burst, entry.tokens+rate.PerSecond*now.Sub(entry.at).Seconds()) - usage.Used
		entry.at = now
		remaining = append(remaining, Remaining{Organisation: usage.Organisation, Tokens: max(0, entry.tokens)})
	}
	return remaining
}

// Host is one entry's quota. It implements agatestage.TokenSource.
type Host struct {
	clock  agatestage.Clock
	rates  agatestage.RateSource
	mutex  sync.Mutex
	quotas map[string]*quota
	next   time.Time
}

type quota struct {
	left   float64
	used   float64
	active time.Time
}

// NewHost returns a host that has the whole quota of each organisation.
func NewHost(clock agatestage.Clock, rates agatestage.RateSource) *Host {
	return &Host{clock: clock, rates: rates, quotas: make(map[string]*quota)}
}

// Take implements agatestage.TokenSource.
func (host *Host) Take(organisation string) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	entry := host.quotas[organisation]
	if entry == nil {
		rate, _ := host.rates.Rate(organisation)
		entry = &quota{left: rate.Burst}
		host.quotas[organisation] = entry
	}
	entry.active = host.clock.Now()
	if entry.left < 1 {
		return false
	}
	entry.left--
	entry.used++
	return true
}

// SetWaiting implements agatestage.TokenSource; the quota comes with the next reconciliation.
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
	for organisation, entry := range host.quotas {
		if now.Sub(entry.active) < 2*Period || entry.used > 0 {
			usages = append(usages, Usage{Organisation: organisation, Used: entry.used})
			entry.used = 0
		}
	}
	return usages
}

// Receive takes what remains, less what has been used since the report.
func (host *Host) Receive(remaining []Remaining) (granted []string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, entry := range remaining {
		if quota := host.quotas[entry.Organisation]; quota != nil {
			quota.left = max(0, entry.Tokens-quota.used)
			granted = append(granted, entry.Organisation)
		}
	}
	return granted
}

package share

import (
	"time"

	"k8s.io/klog/v2"
)

// logPeriod is the shortest time between two log lines about one account.
const logPeriod = 5 * time.Second

// Update computes the ranks anew if updatePeriod has passed, and reports whether it did.
func (ledger *Ledger) Update() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	elapsed := now.Sub(ledger.updated)
	if elapsed < updatePeriod {
		return false
	}
	if ledger.updated.IsZero() {
		elapsed = 0
	}
	ledger.updated = now
	sums := ledger.sums(now)
	for at := range sums {
		ledger.service(at)
	}
	for at, service := range ledger.services {
		before := make(map[uint64]int, len(service.ranks))
		for organisation, rank := range service.ranks {
			before[organisation] = rank
		}
		service.update(sums[at], elapsed, now)
		ledger.logChanges(at, service, before, sums[at], now)
		if len(sums[at]) == 0 && len(service.usual) == 0 && !service.short(now) {
			delete(ledger.services, at)
		}
	}
	return true
}

// sums adds up the accounts of this gateway and what the others report, by service and
// organisation. It drops what no longer counts. The mutex must be held.
func (ledger *Ledger) sums(now time.Time) map[uint32]map[uint64]sum {
	sums := make(map[uint32]map[uint64]sum)
	add := func(at key, added sum) {
		if sums[at.service] == nil {
			sums[at.service] = make(map[uint64]sum)
		}
		known := sums[at.service][at.organisation]
		known.own += added.own
		known.others += added.others
		known.demand += added.demand
		known.weight = max(known.weight, added.weight)
		sums[at.service][at.organisation] = known
	}
	for at, account := range ledger.accounts {
		if account.advance(now); account.running == 0 && account.use < forgottenUse {
			delete(ledger.accounts, at)
			continue
		}
		add(at, sum{own: account.use, demand: account.demand(), weight: account.weight})
	}
	for gateway, peer := range ledger.peers {
		if now.Sub(peer.received) >= reportTTL {
			delete(ledger.peers, gateway)
			continue
		}
		for _, use := range peer.report.Uses {
			if !(use.Slots > 0) {
				continue
			}
			add(key{service: use.Service, organisation: use.Organisation}, sum{others: float64(use.Slots), demand: float64(use.Demand), weight: float64(use.Weight)})
		}
	}
	return sums
}

// logChanges logs the organisations with calls here that are over their shares, or within them
// again. The mutex must be held.
func (ledger *Ledger) logChanges(at uint32, service *service, before map[uint64]int, sums map[uint64]sum, now time.Time) {
	for organisation, sum := range sums {
		was, is := before[organisation] > 0, service.ranks[organisation] > 0
		account := ledger.accounts[key{service: at, organisation: organisation}]
		if was == is || account == nil || !account.logged.IsZero() && now.Sub(account.logged) < logPeriod {
			continue
		}
		account.logged = now
		message := "organisation within its share again"
		if is {
			message = "organisation over its share"
		}
		klog.InfoS(message, "organisation", account.organisation, "service", account.service, "rank", service.ranks[organisation], "use", sum.use(), "here", sum.own,
			"demand", sum.demand, "share", service.share(sum), "weight", sum.weight, "all", service.all.use(), "allDemand", service.all.demand,
			"allWeight", service.all.weight, "usual", service.usual[organisation], "allUsual", service.allUsual, "observed", service.observed)
	}
}

package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportedUses and reportedWaits bound a report, which has 30 bytes for a use and 5 for a
	// wait, so that it takes less than half of a packet.
	reportedUses  = 16
	reportedWaits = 4
	// reportTTL is how long a report counts: as long as a silent gateway counts as alive.
	reportTTL = 2500 * time.Millisecond
	// waitReported is how long a wait is reported: until the next reports are sent, one of
	// which may be lost.
	waitReported = time.Second
)

// Use is the use of an organisation at one gateway.
type Use struct {
	_ struct{} `cbor:",toarray"`
	// Service and Organisation are hashes of the names.
	Service      uint32
	Organisation uint64
	Slots        float32
	// Demand is the number of slots that its calls would use if each got one.
	Demand float32
	// Weight is the configured rate, or 0.
	Weight float32
}

// Report is what a gateway reports to the others: its largest accounts, and the services in
// which calls wait.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Uses []Use
	// Waits holds the hashes of the services in which calls wait, LongWaits those in which
	// calls within their shares wait for long.
	Waits     []uint32
	LongWaits []uint32
}

// peer is the last report of another gateway.
type peer struct {
	report   Report
	received time.Time
}

// Report returns this gateway's report, or nil if there is nothing to report.
func (ledger *Ledger) Report() *Report {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now, report := ledger.clock.Now(), &Report{}
	for at, account := range ledger.accounts {
		if account.advance(now); account.use >= minUse {
			report.Uses = append(report.Uses, Use{Service: at.service, Organisation: at.organisation, Slots: float32(account.use), Demand: float32(account.demand()), Weight: float32(account.weight)})
		}
	}
	slices.SortFunc(report.Uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Organisation, b.Organisation))
	})
	report.Uses = report.Uses[:min(len(report.Uses), reportedUses)]
	for at, service := range ledger.services {
		if recent(service.ownWaited, now, waitReported) {
			report.Waits = append(report.Waits, at)
		}
		if recent(service.ownWaitedLong, now, waitReported) {
			report.LongWaits = append(report.LongWaits, at)
		}
	}
	ledger.reports++
	for _, waits := range []*[]uint32{&report.Waits, &report.LongWaits} {
		slices.Sort(*waits)
		*waits = inTurn(*waits, ledger.reports)
	}
	if len(report.Uses)+len(report.Waits) == 0 {
		return nil
	}
	return report
}

// inTurn returns reportedWaits of the waits, others in each report, so that all are reported.
func inTurn(waits []uint32, report int) []uint32 {
	if len(waits) <= reportedWaits {
		return waits
	}
	first := report * reportedWaits % len(waits)
	return append(waits[first:], waits[:first]...)[:reportedWaits]
}

// Receive applies the report of another gateway. Reports must be passed in the order in which
// they were made.
func (ledger *Ledger) Receive(gateway string, report Report) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	ledger.peers[gateway] = &peer{report: report, received: now}
	for _, wait := range report.Waits {
		ledger.service(wait).waited = now
	}
	for _, wait := range report.LongWaits {
		ledger.service(wait).waitedLong = now
	}
}

package share

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// shownAccounts bounds the organisations that the metrics name.
const shownAccounts = 8

// Accounts returns the number of accounts at this gateway.
func (ledger *Ledger) Accounts() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.accounts)
}

// Over returns the number of organisations over their shares, by service and organisation.
func (ledger *Ledger) Over() (count int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, service := range ledger.services {
		count += len(service.ranks)
	}
	return count
}

// largest returns the accounts with the most use at this gateway.
func (ledger *Ledger) largest() []account {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := ledger.clock.Now()
	accounts := make([]account, 0, len(ledger.accounts))
	for _, account := range ledger.accounts {
		account.advance(now)
		accounts = append(accounts, *account)
	}
	slices.SortFunc(accounts, func(a, b account) int { return cmp.Compare(b.use, a.use) })
	return accounts[:min(len(accounts), shownAccounts)]
}

// registered is done once a ledger's metrics are; a process has one ledger, but in tests.
var registered sync.Once

// RegisterMetrics registers the metrics of the process's first ledger. Those of organisations
// are written for the largest accounts only.
func RegisterMetrics(ledger *Ledger) {
	metrics.GetOrCreateGauge("agatestage_share_accounts", func() float64 { return float64(ledger.Accounts()) })
	metrics.GetOrCreateGauge("agatestage_share_over", func() float64 { return float64(ledger.Over()) })
	registered.Do(func() { metrics.RegisterMetricsWriter(ledger.writeLargest) })
}

// writeLargest writes the metrics of the largest accounts.
func (ledger *Ledger) writeLargest(writer io.Writer) {
	for _, account := range ledger.largest() {
		labels := fmt.Sprintf(`{service=%q,organisation=%q}`, account.service, account.organisation)
		metrics.WriteGaugeFloat64(writer, "agatestage_share_use"+labels, account.use)
		metrics.WriteGaugeFloat64(writer, "agatestage_share_demand"+labels, account.demand())
	}
}

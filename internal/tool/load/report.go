package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/model"
)

// Report is the result of a run. Times are in seconds.
type Report struct {
	Profile string
	Seed    uint64
	Seconds float64
	// Requests counts the online requests of the mixed phase, Answered those
	// that were answered completely.
	Requests int
	Answered int
	// BatchThroughput is the number of batch items per second under online load.
	BatchThroughput float64
	// BatchCapacity is the number of batch items per second that the slots not used
	// by online calls could process at the rate that batch work reaches alone.
	BatchCapacity float64
	FirstTokenP50 float64
	FirstTokenP95 float64
	FirstTokenP99 float64
	// BetweenTokensP95 is the time between two consecutive tokens.
	BetweenTokensP95 float64
	// The same percentiles for the same arrivals without batch work.
	FirstTokenP95Alone    float64
	BetweenTokensP95Alone float64
	// HarmFirstToken and HarmBetweenTokens are the slowdown caused by batch work: the
	// p95 of the mixed phase divided by that of online load alone.
	HarmFirstToken    float64
	HarmBetweenTokens float64
	// WorstOrganisationShare is the lowest ratio, over the organisations, of answered
	// requests to requests within the rate limit.
	WorstOrganisationShare float64
	// WrongfulRefusals is the fraction of all requests that were refused for their
	// rate although they were within it.
	WrongfulRefusals float64
	// Oversold is the largest number of requests that an organisation was granted
	// above rate × t + burst.
	Oversold float64
	// Lost and Doubled count batch items without a result and surplus results.
	Lost    int
	Doubled int
	// PrefixHitRate is the fraction of prompt tokens that engines found in their cache
	// in the first phase, LoadSpread the requests of the busiest engine divided by the
	// mean.
	PrefixHitRate float64
	LoadSpread    float64
	// RegionBytes is the traffic between the regions in the mixed phase, in bytes.
	RegionBytes int64
	// Refusals counts the refusals of the mixed phase by their code.
	Refusals map[agatestage.Code]int
}

func percentileSeconds(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / float64(time.Second/time.Microsecond)
}

// tokenBucket models the rate limit of one organisation.
type tokenBucket struct {
	rate  agatestage.Rate
	level float64
	at    time.Duration
}

func (tokenBucket *tokenBucket) refill(at time.Duration) {
	tokenBucket.level = min(tokenBucket.rate.Burst, tokenBucket.level+tokenBucket.rate.PerSecond*(at-tokenBucket.at).Seconds())
	tokenBucket.at = at
}

func newBuckets(intent model.Intent) map[string]*tokenBucket {
	buckets := make(map[string]*tokenBucket)
	for _, organisation := range intent.Organisations {
		rate := agatestage.Rate{PerSecond: organisation.Rate, Burst: organisation.Burst}
		buckets[organisation.Name] = &tokenBucket{rate: rate, level: rate.Burst}
	}
	return buckets
}

// addLimitResults fills in the fields that concern organisations and their rate
// limits.
func (report *Report) addLimitResults(phase *phase, intent model.Intent) {
	outcomes := phase.outcomes
	sort.Slice(outcomes, func(i, j int) bool { return outcomes[i].arrival.at < outcomes[j].arrival.at })
	withinRate, completed := make(map[string]float64), make(map[string]float64)
	wrongful := 0.0
	report.Refusals = make(map[agatestage.Code]int)
	buckets := newBuckets(intent)
	for _, outcome := range outcomes {
		bucket := buckets[outcome.arrival.organisation]
		bucket.refill(outcome.arrival.at)
		allowed := bucket.level >= 1
		if allowed {
			bucket.level--
			withinRate[outcome.arrival.organisation]++
		}
		if outcome.answered {
			report.Answered++
			completed[outcome.arrival.organisation]++
		} else if outcome.code != "" {
			report.Refusals[outcome.code]++
		}
		if allowed && outcome.code == agatestage.CodeRateLimited {
			wrongful++
		}
	}
	report.Requests = len(outcomes)
	report.WrongfulRefusals = wrongful / float64(max(1, len(outcomes)))
	report.WorstOrganisationShare = 1
	for organisation, count := range withinRate {
		report.WorstOrganisationShare = min(report.WorstOrganisationShare, completed[organisation]/count)
	}
	report.Oversold = maxOversold(outcomes, intent)
}

// maxOversold returns the largest overdraft of a bucket when the admitted requests
// are charged in the order of their arrival.
func maxOversold(outcomes []outcome, intent model.Intent) (excess float64) {
	var admitted []outcome
	for _, outcome := range outcomes {
		if outcome.admitted > 0 {
			admitted = append(admitted, outcome)
		}
	}
	sort.Slice(admitted, func(i, j int) bool { return admitted[i].arrival.at < admitted[j].arrival.at })
	buckets := newBuckets(intent)
	for _, outcome := range admitted {
		bucket := buckets[outcome.arrival.organisation]
		bucket.refill(outcome.arrival.at)
		bucket.level--
		excess = max(excess, -bucket.level)
	}
	return excess
}

// Print writes the report as a table.
func (report Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("profile", "%s, seed %d, %.0f s a phase", report.Profile, report.Seed, report.Seconds)
	row("online requests", "%d, answered %d, refused %v", report.Requests, report.Answered, report.Refusals)
	row("first token p50 / p95 / p99", "%.3f / %.3f / %.3f s (p95 alone %.3f s, harm %.3f)", report.FirstTokenP50, report.FirstTokenP95, report.FirstTokenP99, report.FirstTokenP95Alone, report.HarmFirstToken)
	row("between tokens p95", "%.4f s (alone %.4f s, harm %.3f)", report.BetweenTokensP95, report.BetweenTokensP95Alone, report.HarmBetweenTokens)
	row("batch throughput", "%.1f items/s of a capacity of %.1f (%.1f%%)", report.BatchThroughput, report.BatchCapacity, 100*report.BatchThroughput/max(report.BatchCapacity, 1e-9))
	row("worst organisation's share", "%.4f", report.WorstOrganisationShare)
	row("wrongful refusals", "%.4f%%", 100*report.WrongfulRefusals)
	row("oversold", "%.1f requests", report.Oversold)
	row("batch items lost / doubled", "%d / %d", report.Lost, report.Doubled)
	row("prefix hits, spread", "%.1f%%, %.2f (online alone)", 100*report.PrefixHitRate, report.LoadSpread)
	row("bytes between regions", "%d", report.RegionBytes)
	_ = table.Flush()
}

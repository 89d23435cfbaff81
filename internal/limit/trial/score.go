package trial

import (
	"sort"
	"time"

	"github.com/agatestage/agatestage"
)

// request is one simulated request.
type request struct {
	organisation string
	arrived      time.Time
	decided      time.Time
	admitted     bool
	dropped      bool
}

// Score holds all requests of a run.
type Score struct {
	requests []*request
}

func newScore() *Score {
	return &Score{}
}

func (score *Score) offer(organisation string, now time.Time) *request {
	request := &request{organisation: organisation, arrived: now}
	score.requests = append(score.requests, request)
	return request
}

func (score *Score) decide(request *request, now time.Time, admitted bool) {
	request.decided, request.admitted = now, admitted
}

func (score *Score) drop(request *request) {
	request.dropped = true
}

// Result is the score of a run.
type Result struct {
	Requests int
	Admitted int
	// Oversold is the largest number of requests of one organisation that were
	// admitted in any window of length t above rate × t + burst.
	Oversold float64
	// Wrongful is the fraction of the requests that were refused although a single
	// bucket for the whole fleet would have admitted as many.
	Wrongful float64
	// WorstShare is the least ratio, over all organisations, of the requests
	// admitted to those that a single bucket for the whole fleet would have
	// admitted.
	WorstShare float64
	// WaitP99 is the 99th percentile of the waiting times of admitted requests.
	WaitP99 time.Duration
	// MessagesPerRequest is the cost in messages between entries, BytesPerSecond
	// the cost in bytes sent by each entry on average.
	MessagesPerRequest float64
	BytesPerSecond     float64
}

// allowance is a single exact bucket for the whole fleet.
type allowance struct {
	rate  agatestage.Rate
	level float64
	at    time.Time
}

func (allowance *allowance) settle(now time.Time) {
	if !allowance.at.IsZero() {
		allowance.level = min(allowance.rate.Burst, allowance.level+allowance.rate.PerSecond*now.Sub(allowance.at).Seconds())
	}
	allowance.at = now
}

// slack allows for rounding errors of sums of floating-point numbers.
const slack = 1e-6

// Result scores the run so far. Only requests that arrived between from and to,
// counted from the first request, count for wrongful refusals.
func (world *World) Result(from, to time.Duration) (result Result) {
	requests := world.score.requests
	if len(requests) == 0 {
		return result
	}
	result.Oversold = world.oversold()
	ideal, got := make(map[string]float64), make(map[string]float64)
	var waits []time.Duration
	begin := requests[0].arrived
	buckets := make(map[string]*allowance)
	counted := 0
	for _, request := range requests {
		bucket := world.bucket(buckets, request.organisation)
		bucket.settle(request.arrived)
		fits := bucket.level >= 1
		if fits {
			bucket.level--
		}
		since := request.arrived.Sub(begin)
		if since < from || since >= to || request.dropped || request.decided.IsZero() {
			continue
		}
		counted++
		if fits {
			ideal[request.organisation]++
		}
		if request.admitted {
			got[request.organisation]++
			waits = append(waits, request.decided.Sub(request.arrived))
		}
	}
	result.Requests, result.Admitted, result.WorstShare = counted, len(waits), 1
	wrongful := 0.0
	for organisation, should := range ideal {
		wrongful += max(0, should-got[organisation])
		result.WorstShare = min(result.WorstShare, got[organisation]/should)
	}
	result.Wrongful = wrongful / float64(max(1, counted))
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	if len(waits) > 0 {
		result.WaitP99 = waits[len(waits)*99/100]
	}
	elapsed := requests[len(requests)-1].arrived.Sub(begin).Seconds()
	result.MessagesPerRequest = float64(world.messages) / float64(len(requests))
	result.BytesPerSecond = float64(world.bytes) / max(1, elapsed) / float64(len(world.Entries))
	return result
}

// bucket returns an organisation's bucket. It creates a full one if there is none.
func (world *World) bucket(buckets map[string]*allowance, organisation string) *allowance {
	bucket := buckets[organisation]
	if bucket == nil {
		rate := world.Rates[organisation]
		bucket = &allowance{rate: rate, level: rate.Burst}
		buckets[organisation] = bucket
	}
	return bucket
}

// oversold returns the largest excess of any organisation in any window, which is
// how far the admissions would have taken a single bucket below zero.
func (world *World) oversold() (excess float64) {
	admitted := make([]*request, 0, len(world.score.requests))
	for _, request := range world.score.requests {
		if request.admitted {
			admitted = append(admitted, request)
		}
	}
	sort.SliceStable(admitted, func(i, j int) bool { return admitted[i].decided.Before(admitted[j].decided) })
	buckets := make(map[string]*allowance)
	for _, request := range admitted {
		bucket := world.bucket(buckets, request.organisation)
		bucket.settle(request.decided)
		bucket.level--
		excess = max(excess, -bucket.level)
	}
	if excess < slack {
		return 0
	}
	return excess
}

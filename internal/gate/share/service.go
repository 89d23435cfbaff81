package share

import (
	"math"
	"time"
)

const (
	// demandFactor is how many times more than the others an organisation must ask for, by
	// weight, to be over its share. In a peak of usual loads the demand of each varies with the
	// calls that happen to come; a square root of the slots is added for that.
	demandFactor = 1.5
	// ownSlots is the use in slots with which no organisation is over its share, since a slot
	// can't be divided.
	ownSlots = 1
	// usualTime is the time constant of the usual use: some periods of load that changes every
	// few seconds. usualAfter is the time without waiting calls after which it is known.
	usualTime  = 60 * time.Second
	usualAfter = 10 * time.Second
	// usualGrowth is how much more than that of the others an organisation's demand must have
	// grown, from its usual use, for it to be over its share.
	usualGrowth = 2
	// waitTTL is how long after a call has waited the service counts as short of slots: longer
	// than the news of the next one takes.
	waitTTL = 2 * time.Second
	// yieldTTL is how long slots are left free after the last news that a call within its share
	// has waited for long. Each such slot is idle, so it is only as long as a wait is reported.
	yieldTTL = waitReported
)

// service is what is known of the use of one service.
type service struct {
	// ranks holds the organisations over their shares.
	ranks map[uint64]int
	// usual holds the usual use of each organisation, measured for the time observed.
	usual    map[uint64]float64
	observed time.Duration
	// waited is when a call last waited here or at another gateway, ownWaited when one did here.
	waited, ownWaited time.Time
	// waitedLong and ownWaitedLong are the same for long waits of calls within their shares.
	waitedLong, ownWaitedLong time.Time
	// othersOver and ownWithin are the sums that Ledger.OthersOver and OwnWithin return.
	othersOver, ownWithin float64
	// all sums up the active organisations, of which allUsual is the usual use.
	all      sum
	allUsual float64
}

func newService() *service {
	return &service{ranks: make(map[uint64]int), usual: make(map[uint64]float64)}
}

// wait records that a call waits at this gateway.
func (service *service) wait(now time.Time) {
	service.waited, service.ownWaited = now, now
}

func (service *service) waitLong(now time.Time) {
	service.waitedLong, service.ownWaitedLong = now, now
}

// recent reports whether something has happened within a time.
func recent(at, now time.Time, within time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < within
}

// sum is the use of one organisation at this gateway and the others.
type sum struct {
	own, others float64
	demand      float64
	weight      float64
}

func (sum sum) use() float64 { return sum.own + sum.others }

// short reports whether calls wait or have waited lately.
func (service *service) short(now time.Time) bool {
	return recent(service.waited, now, waitTTL)
}

// update computes the ranks from the use of each organisation.
func (service *service) update(sums map[uint64]sum, elapsed time.Duration, now time.Time) {
	if !service.short(now) {
		service.learn(sums, elapsed)
	}
	service.totals(sums)
	clear(service.ranks)
	service.othersOver, service.ownWithin = 0, 0
	for organisation, sum := range sums {
		if rank := service.rank(organisation, sum); rank > 0 {
			service.ranks[organisation] = rank
			service.othersOver += sum.others
		} else {
			service.ownWithin += sum.own
		}
	}
}

// learn advances the usual use of all organisations by a time in which no call waited.
func (service *service) learn(sums map[uint64]sum, elapsed time.Duration) {
	service.observed += elapsed
	if service.observed <= 0 {
		return
	}
	// While little has been observed, all of it weighs the same.
	part := max(decayed(elapsed, usualTime), min(1, elapsed.Seconds()/service.observed.Seconds()))
	for organisation := range sums {
		if _, known := service.usual[organisation]; !known && len(service.usual) < maxAccounts {
			service.usual[organisation] = 0
		}
	}
	for organisation, usual := range service.usual {
		usual += part * (sums[organisation].use() - usual)
		if service.usual[organisation] = usual; usual < forgottenUse {
			delete(service.usual, organisation)
		}
	}
}

// totals sums up the active organisations. Those without a configured rate have the mean
// weight of the others, or all the same.
func (service *service) totals(sums map[uint64]sum) {
	weights, weighted, active := 0.0, 0, 0
	service.all, service.allUsual = sum{}, 0
	for organisation, sum := range sums {
		if sum.use() < minUse {
			continue
		}
		active++
		service.all.own += sum.own
		service.all.others += sum.others
		service.all.demand += sum.demand
		if sum.weight > 0 {
			weights += sum.weight
			weighted++
		}
		service.allUsual += service.usual[organisation]
	}
	mean := 1.0
	if weighted > 0 {
		mean = weights / float64(weighted)
	}
	service.all.weight = weights + mean*float64(active-weighted)
	for organisation, sum := range sums {
		if sum.weight <= 0 {
			sum.weight = mean
			sums[organisation] = sum
		}
	}
}

// share returns the slots that the organisation is due of those in use.
func (service *service) share(sum sum) float64 {
	if service.all.weight <= 0 {
		return service.all.use()
	}
	return service.all.use() * sum.weight / service.all.weight
}

// rank returns 0 for an organisation within its share; else 1, and one more for each doubling
// of its use above that.
func (service *service) rank(organisation uint64, sum sum) int {
	use, share := sum.use(), service.share(sum)
	if use <= ownSlots || use <= share || !service.asksMore(sum) || !service.grown(organisation, sum) {
		return 0
	}
	return 1 + int(math.Log2(use/share))
}

// asksMore reports whether the organisation asks for clearly more than the others, by weight.
func (service *service) asksMore(sum sum) bool {
	others := service.all.weight - sum.weight
	if others <= 0 {
		return false
	}
	expected := (service.all.demand - sum.demand) * sum.weight / others
	return sum.demand > demandFactor*expected+math.Sqrt(expected)
}

// grown reports whether the organisation's demand has grown clearly more than that of the
// others, or may have because the usual use isn't known.
func (service *service) grown(organisation uint64, sum sum) bool {
	usual := service.usual[organisation]
	if service.observed < usualAfter || usual <= 0 {
		return true
	}
	return sum.demand*(service.allUsual-usual) > usualGrowth*usual*(service.all.demand-sum.demand)
}

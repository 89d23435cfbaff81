package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/tool/world"
)

const (
	readyTimeout       = 30 * time.Second
	maxIdleConnections = 512
	// warmUpTime lets batch work fill the slots before a phase is measured.
	warmUpTime = 3 * time.Second
)

// Options configures a run.
type Options struct {
	Profile Profile
	// Length is the length of each phase.
	Length time.Duration
	Seed   uint64
	// Entries holds the URLs of running entries, Keys a key of each organisation;
	// without them the profile's fleet is started in this process.
	Entries []string
	Keys    map[string]string
	// Out receives the progress line; nil prints none.
	Out io.Writer
	// OnlineOnly skips the phases with batch work.
	OnlineOnly bool
	// Router replaces the entries' router in a fleet started in this process.
	Router func(place world.Place) agatestage.Router
}

// Run runs a profile in three phases: online load alone, the same arrivals with
// batch work, and batch work alone.
func Run(ctx context.Context, options Options) (report Report, err error) {
	runner := &runner{options: options}
	if len(options.Entries) > 0 {
		if err = requireLoopback(options.Entries); err != nil {
			return report, err
		}
		runner.caller = newCaller(options.Profile, options.Entries, options.Keys)
		return runner.runPhases(ctx)
	}
	folder, err := os.MkdirTemp("", "agatestage-load-")
	if err != nil {
		return report, errors.Wrap(err, "create fleet folder")
	}
	defer os.RemoveAll(folder)
	spec := options.Profile.spec
	spec.Router = options.Router
	if runner.fleet, err = world.New(folder, spec); err != nil {
		_ = runner.fleet.Stop()
		return report, err
	}
	if err = runner.prepare(ctx); err == nil {
		report, err = runner.runPhases(ctx)
	}
	if stopErr := runner.fleet.Stop(); err == nil {
		err = stopErr
	}
	return report, err
}

// requireLoopback returns an error unless all URLs are on loopback addresses, so
// that no other machine can be put under load.
func requireLoopback(urls []string) error {
	for _, text := range urls {
		address, err := url.Parse(text)
		if err != nil {
			return errors.Wrap(err, "entry URL")
		}
		if ip := net.ParseIP(address.Hostname()); ip == nil || !ip.IsLoopback() {
			return errors.Errorf("%s is not a loopback address; load can be sent to this machine only", text)
		}
	}
	return nil
}

// runner holds the fleet and the caller of a run; fleet is nil if the entries run
// elsewhere.
type runner struct {
	options Options
	fleet   *world.World
	caller  *caller
}

func newCaller(profile Profile, entries []string, keys map[string]string) *caller {
	caller := &caller{
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections}},
		entries: entries, keys: keys, prefixes: make(map[string]string),
	}
	for _, organisation := range profile.Organisations {
		caller.prefixes[organisation.Name] = promptText("You answer for "+organisation.Name, profile.PrefixWords)
	}
	return caller
}

// prepare configures the fleet, creates a key for each organisation and waits until
// every entry answers.
func (runner *runner) prepare(ctx context.Context) error {
	profile := runner.options.Profile
	var names, entries []string
	for _, entry := range profile.spec.Entries {
		names = append(names, entry.Name)
		entries = append(entries, runner.fleet.CallerURL(entry.Name))
	}
	operator := client.New(runner.fleet.AdminURL(names[0]), runner.fleet.Operator.Secret)
	plan, err := operator.Plan(ctx, profile.intent())
	if err != nil {
		return err
	}
	if _, err = operator.Confirm(ctx, plan.Digest); err != nil {
		return err
	}
	keys := make(map[string]string)
	for _, organisation := range profile.Organisations {
		var created admin.CreatedKey
		if created, err = operator.CreateKey(ctx, admin.NewKey{Organisation: organisation.Name}); err != nil {
			return err
		}
		if _, err = operator.Confirm(ctx, created.Plan.Digest); err != nil {
			return err
		}
		keys[organisation.Name] = created.Key
	}
	runner.caller = newCaller(profile, entries, keys)
	return runner.awaitReady(ctx)
}

// awaitReady waits until each entry answers a completion.
func (runner *runner) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	organisation := runner.options.Profile.Organisations[0].Name
	for i := range runner.caller.entries {
		for {
			probe := newPhase()
			runner.caller.send(ctx, probe, time.Now(), arrival{entry: i, organisation: organisation, tokens: 2, prompt: "ready"})
			if _, answered := probe.count(); answered == 1 {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("entry %s did not become ready", runner.caller.entries[i])
			}
			<-time.After(pollInterval)
		}
	}
	return nil
}

// runPhases runs the phases and computes the report.
func (runner *runner) runPhases(ctx context.Context) (report Report, err error) {
	options := runner.options
	arrivals := options.Profile.schedule(options.Length, len(runner.caller.entries), options.Seed)
	report.Profile, report.Seed, report.Seconds = options.Profile.Name, options.Seed, options.Length.Seconds()
	onlineAlone := runner.caller.run(ctx, arrivals, runner.progressPrinter("online alone", len(arrivals)))
	report.FirstTokenP95Alone, report.BetweenTokensP95Alone = percentileSeconds(onlineAlone.firstToken, 95), percentileSeconds(onlineAlone.betweenTokens, 95)
	runner.addEngineStats(&report)
	if options.OnlineOnly {
		report.addLimitResults(onlineAlone, options.Profile.intent())
		report.FirstTokenP50, report.FirstTokenP95, report.FirstTokenP99 = percentileSeconds(onlineAlone.firstToken, 50), percentileSeconds(onlineAlone.firstToken, 95), percentileSeconds(onlineAlone.firstToken, 99)
		report.BetweenTokensP95 = report.BetweenTokensP95Alone
		return report, ctx.Err()
	}
	batch := runner.startBatchLoad(ctx)
	runner.sleep(ctx, warmUpTime)
	itemsBefore, regionBytes := batch.endedItems(), runner.regionBytes()
	mixed := runner.caller.run(ctx, arrivals, runner.progressPrinter("online and batch", len(arrivals)))
	report.BatchThroughput = float64(batch.endedItems()-itemsBefore) / options.Length.Seconds()
	report.RegionBytes = runner.regionBytes() - regionBytes

	itemsBefore = batch.endedItems()
	runner.sleep(ctx, options.Length/2)
	batchAloneRate := float64(batch.endedItems()-itemsBefore) / (options.Length / 2).Seconds()
	batch.stop()
	runner.printf("\n")

	report.addLimitResults(mixed, options.Profile.intent())
	report.FirstTokenP50, report.FirstTokenP95, report.FirstTokenP99 = percentileSeconds(mixed.firstToken, 50), percentileSeconds(mixed.firstToken, 95), percentileSeconds(mixed.firstToken, 99)
	report.BetweenTokensP95 = percentileSeconds(mixed.betweenTokens, 95)
	report.HarmFirstToken = report.FirstTokenP95 / report.FirstTokenP95Alone
	report.HarmBetweenTokens = report.BetweenTokensP95 / report.BetweenTokensP95Alone
	report.BatchCapacity = batchAloneRate * (1 - runner.onlineUtilisation(onlineAlone))
	report.Lost, report.Doubled = batch.lost, batch.duplicated
	if len(batch.errs) > 0 {
		return report, batch.errs[0]
	}
	return report, ctx.Err()
}

// addEngineStats fills in the statistics of the engines of a fleet that was started
// in this process.
func (runner *runner) addEngineStats(report *Report) {
	if runner.fleet == nil {
		return
	}
	var hits, lookups, most, sum int64
	for _, engine := range runner.fleet.Engines {
		stats := engine.Stats()
		hits, lookups = hits+stats.CacheHits, lookups+stats.CacheLookups
		most, sum = max(most, stats.Requests), sum+stats.Requests
	}
	report.PrefixHitRate = float64(hits) / float64(max(1, lookups))
	report.LoadSpread = float64(most) * float64(len(runner.fleet.Engines)) / float64(max(1, sum))
}

// onlineUtilisation returns the fraction of all slots that online calls occupied,
// computed from the duration of their answers.
func (runner *runner) onlineUtilisation(onlineAlone *phase) float64 {
	slots := 0
	for _, engine := range runner.options.Profile.spec.Engines {
		slots += engine.Slots
	}
	busy := onlineAlone.betweenTokens.Mean()*float64(onlineAlone.betweenTokens.TotalCount()) + onlineAlone.firstToken.Mean()*float64(onlineAlone.firstToken.TotalCount())
	return min(1, busy/float64(time.Second/time.Microsecond)/runner.options.Length.Seconds()/float64(max(1, slots)))
}

func (runner *runner) regionBytes() int64 {
	if runner.fleet == nil || runner.fleet.Pipe == nil {
		return 0
	}
	outbound, inbound := runner.fleet.Pipe.Bytes()
	return outbound + inbound
}

func (runner *runner) sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// batchRun is the batch work of a run.
type batchRun struct {
	*batchLoad

	cancel context.CancelFunc
	jobs   sync.WaitGroup
}

// startBatchLoad keeps one job running for each of the first BatchJobs organisations.
func (runner *runner) startBatchLoad(ctx context.Context) *batchRun {
	ctx, cancel := context.WithCancel(ctx)
	work := &batchRun{batchLoad: &batchLoad{caller: runner.caller, profile: runner.options.Profile}, cancel: cancel}
	for i, organisation := range runner.options.Profile.Organisations {
		if i < runner.options.Profile.BatchJobs {
			work.jobs.Go(func() { work.run(ctx, organisation.Name, i%len(runner.caller.entries)) })
		}
	}
	return work
}

func (batchRun *batchRun) stop() {
	batchRun.cancel()
	batchRun.jobs.Wait()
}

// progressPrinter returns a function that prints the progress line of a phase.
func (runner *runner) progressPrinter(name string, total int) func(*phase) {
	return func(phase *phase) {
		ended, answered := phase.count()
		runner.printf("\r%-18s %d of %d ended, %d answered   ", name, ended, total, answered)
	}
}

func (runner *runner) printf(format string, args ...any) {
	if runner.options.Out != nil {
		fmt.Fprintf(runner.options.Out, format, args...)
	}
}

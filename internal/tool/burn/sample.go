// Package burn reports the burn rate of error budgets for each organisation and route.
//
// Each run reads the entries' counters and appends a sample to a history. From the
// history it computes burn rates over pairs of a short and a long window. A pair fires
// if the rates of both windows exceed its threshold: the long window shows that a
// significant part of the budget is used up, the short window that the errors have not
// stopped.
package burn

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/pkg/errors"
)

const (
	requestsMetric = "agatestage_requests_total"
	firstMetric    = "agatestage_first_byte_seconds"
	scrapeTimeout  = 5 * time.Second
	maxScrapeBytes = 64 << 20
	// historyRetention is the age at which samples are removed from the history.
	historyRetention = 4 * 24 * time.Hour
)

// Series is the organisation and the route by which requests are counted.
type Series struct {
	Organisation string
	Route        string
}

// Counts holds the counters of a series, which start at 0 when an entry starts.
type Counts struct {
	Requests float64
	// Failed counts the requests that the system failed to answer, Limited those that
	// it refused for their rate.
	Failed  float64
	Limited float64
	// First counts the answers that began, Late those that began after FirstTokenLimit.
	First float64
	Late  float64
}

func (counts Counts) sub(before Counts) Counts {
	return Counts{
		Requests: counts.Requests - before.Requests, Failed: counts.Failed - before.Failed, Limited: counts.Limited - before.Limited,
		First: counts.First - before.First, Late: counts.Late - before.Late,
	}
}

func (counts Counts) add(other Counts) Counts {
	return Counts{
		Requests: counts.Requests + other.Requests, Failed: counts.Failed + other.Failed, Limited: counts.Limited + other.Limited,
		First: counts.First + other.First, Late: counts.Late + other.Late,
	}
}

// Line holds the counts of one series at one entry.
type Line struct {
	Series
	Counts

	Entry string
}

// Sample holds the counters of all entries at one time.
type Sample struct {
	At    time.Time
	Lines []Line
}

// failureCodes are the codes that count against availability: failures of the system,
// not errors of the caller.
var failureCodes = map[string]bool{
	"Busy": true, "NoTarget": true, "TargetFailed": true, "DeadlineExceeded": true, "Internal": true, "NotFresh": true,
	"Stopping": true, "StoreUnavailable": true, "LedgerUnavailable": true,
}

// Scrape reads the counters of all entries; urls are their metrics addresses.
func Scrape(ctx context.Context, urls []string, at time.Time) (sample Sample, err error) {
	sample.At = at.UTC()
	for _, url := range urls {
		var families map[string]*dto.MetricFamily
		if families, err = scrapeEntry(ctx, url); err != nil {
			return sample, errors.Wrapf(err, "entry %s", url)
		}
		sample.Lines = append(sample.Lines, lines(url, families)...)
	}
	return sample, nil
}

func scrapeEntry(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return nil, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(io.LimitReader(response.Body, maxScrapeBytes))
}

// lines converts the metrics of an entry to counts for each series.
func lines(entry string, families map[string]*dto.MetricFamily) (list []Line) {
	counts := make(map[Series]Counts)
	for _, metric := range families[requestsMetric].GetMetric() {
		series, code := labels(metric)
		entry := counts[series]
		value := metric.GetUntyped().GetValue() + metric.GetCounter().GetValue()
		entry.Requests += value
		if failureCodes[code] {
			entry.Failed += value
		}
		if code == "RateLimited" {
			entry.Limited += value
		}
		counts[series] = entry
	}
	addFirstBytes(counts, families)
	for series, count := range counts {
		list = append(list, Line{Series: series, Counts: count, Entry: entry})
	}
	return list
}

// addFirstBytes adds the counts of the first-byte histogram, whose buckets are parsed
// as untyped metrics.
func addFirstBytes(counts map[Series]Counts, families map[string]*dto.MetricFamily) {
	for _, metric := range families[firstMetric+"_bucket"].GetMetric() {
		series, _ := labels(metric)
		count := counts[series]
		value := metric.GetUntyped().GetValue()
		for _, pair := range metric.GetLabel() {
			bound, err := strconv.ParseFloat(pair.GetValue(), 64)
			switch {
			case pair.GetName() != "le":
			case pair.GetValue() == "+Inf":
				count.First += value
				count.Late += value
			case err == nil && bound == FirstTokenLimit.Seconds():
				count.Late -= value
			}
		}
		counts[series] = count
	}
}

func labels(metric *dto.Metric) (series Series, code string) {
	for _, pair := range metric.GetLabel() {
		switch pair.GetName() {
		case "organisation":
			series.Organisation = pair.GetValue()
		case "route":
			series.Route = pair.GetValue()
		case "code":
			code = pair.GetValue()
		}
	}
	return series, code
}

// AppendHistory adds a sample to a history file, removes expired samples and returns
// the remaining ones.
func AppendHistory(path string, sample Sample) ([]Sample, error) {
	samples, err := LoadHistory(path)
	if err != nil {
		return nil, err
	}
	samples = append(samples, sample)
	for len(samples) > 1 && sample.At.Sub(samples[0].At) > historyRetention {
		samples = samples[1:]
	}
	file, err := os.Create(path + ".new")
	if err != nil {
		return nil, errors.Wrap(err, "write history")
	}
	encoder := json.NewEncoder(file)
	for _, kept := range samples {
		if err = encoder.Encode(kept); err != nil {
			_ = file.Close()
			return nil, errors.Wrap(err, "write history")
		}
	}
	if err = file.Close(); err != nil {
		return nil, errors.Wrap(err, "write history")
	}
	return samples, errors.Wrap(os.Rename(path+".new", path), "replace history")
}

// LoadHistory reads a history file; a missing file is an empty history.
func LoadHistory(path string) (samples []Sample, err error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	defer file.Close()
	decoder := json.NewDecoder(bufio.NewReader(file))
	for {
		var sample Sample
		if err = decoder.Decode(&sample); err == io.EOF {
			return samples, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "history %s", path)
		}
		samples = append(samples, sample)
	}
}

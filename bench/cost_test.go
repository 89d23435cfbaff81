package bench

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/entry/admin"
	"github.com/agatestage/agatestage/internal/fake/engine"
	"github.com/agatestage/agatestage/internal/tool/client"
	"github.com/agatestage/agatestage/internal/tool/world"
)

const modelName = "language"

// requestPath is a fleet of one entry, one side and one engine, and a caller of it.
type requestPath struct {
	world     *world.World
	http      *http.Client
	entryURL  string
	engineURL string
	callerKey string
}

// newRequestPath starts the fleet. Its engine takes little time per step, so that
// the path itself is measured.
func newRequestPath(b *testing.B) *requestPath {
	place := world.Place{Region: "east", Zone: "east-1"}
	timing := engine.Timing{Step: 200 * time.Microsecond}
	fleet, err := world.New(b.TempDir(), world.Spec{
		Home:    "east",
		Entries: []world.Entry{{Place: place, Name: "entry-a"}},
		Engines: []world.Engine{{Place: place, Name: "engine-a", Model: modelName, Slots: 64, Timing: timing}},
	})
	b.Cleanup(func() { _ = fleet.Stop() })
	if err != nil {
		b.Fatal(err)
	}
	requestPath := &requestPath{
		world: fleet, entryURL: fleet.CallerURL("entry-a"), engineURL: fleet.TargetURL("engine-a"),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	requestPath.configure(b)
	return requestPath
}

func (requestPath *requestPath) configure(b *testing.B) {
	ctx := context.Background()
	operator := client.New(requestPath.world.AdminURL("entry-a"), requestPath.world.Operator.Secret)
	intent := model.Intent{
		Organisations: []model.Organisation{{Name: "lothian", Rate: 1e6, Burst: 1e6}},
		Models:        []model.Model{{Name: modelName, Version: "1"}},
		Routes:        []model.Route{{Name: "chat", Model: modelName}},
		Targets:       []model.Target{{Name: "engine-a", Models: []string{modelName}, Online: true}},
	}
	plan, err := operator.Plan(ctx, intent)
	if err == nil {
		_, err = operator.Confirm(ctx, plan.Digest)
	}
	var created admin.CreatedKey
	if err == nil {
		created, err = operator.CreateKey(ctx, admin.NewKey{Organisation: "lothian"})
	}
	if err == nil {
		_, err = operator.Confirm(ctx, created.Plan.Digest)
	}
	if err != nil {
		b.Fatal(err)
	}
	requestPath.callerKey = created.Key
	for deadline := time.Now().Add(20 * time.Second); requestPath.call(requestPath.entryURL, 1) != http.StatusOK; {
		if time.Now().After(deadline) {
			b.Fatal("the path did not become ready")
		}
	}
}

// call makes one streamed call and returns its status, or 0 if it failed.
func (requestPath *requestPath) call(url string, tokens int) int {
	body := strings.NewReader(`{"model":"language","stream":true,"max_tokens":` + itoa(tokens) + `,"messages":[{"role":"user","content":"hello"}]}`)
	// The method and URL are valid.
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", body)
	request.Header.Set("Authorization", "Bearer "+requestPath.callerKey)
	response, err := requestPath.http.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs calls with a number of tokens in parallel and reports processor time
// and allocations of the whole process: caller, path and engine.
func measure(b *testing.B, requestPath *requestPath, url string, tokens int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := processorTime()
	b.ResetTimer()
	b.SetParallelism(4)
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			if status := requestPath.call(url, tokens); status != http.StatusOK {
				b.Errorf("status %d", status)
				return
			}
		}
	})
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "mallocs/op")
}

// BenchmarkPath compares calls through entry and side with direct calls to the
// same engine. The slope over the number of tokens is the cost of one token.
func BenchmarkPath(b *testing.B) {
	requestPath := newRequestPath(b)
	for _, tokens := range []int{1, 16, 128} {
		b.Run("Direct/Tokens"+itoa(tokens), func(b *testing.B) { measure(b, requestPath, requestPath.engineURL, tokens) })
		b.Run("Through/Tokens"+itoa(tokens), func(b *testing.B) { measure(b, requestPath, requestPath.entryURL, tokens) })
	}
}

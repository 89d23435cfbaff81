// Package engine implements a stand-in for a model engine with continuous batching.
//
// A loop executes decoding steps. A step admits waiting sequences up to the batch size,
// spends the prefill time of the admitted prompts, less the prefixes found in the
// prefix cache, and emits one token for each running sequence. The duration of a step
// grows with the number of running sequences, so concurrent requests slow one another
// down as on real hardware. The engine has no priorities. It crashes on a request that
// contains its marker.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// Timing sets the speed of an engine.
type Timing struct {
	// Step is the base duration of a step; PerSequence is added for each running
	// sequence.
	Step        time.Duration
	PerSequence time.Duration
	// Prefill is the time per uncached token of a prompt.
	Prefill time.Duration
	// Load is the time to load a model from the weight store.
	Load time.Duration
}

// DefaultTiming returns the speed of a mid-sized language model on one accelerator.
func DefaultTiming() Timing {
	return Timing{
		Step:        18 * time.Millisecond,
		PerSequence: 20 * time.Microsecond,
		Prefill:     100 * time.Microsecond,
		Load:        2 * time.Second,
	}
}

// Stats holds the counters of an engine and its present load.
type Stats struct {
	Requests  int64
	Tokens    int64
	Cancelled int64
	// CacheHits and CacheLookups count prompt tokens.
	CacheHits    int64
	CacheLookups int64
	Running      int
	Waiting      int
}

// Engine is the stand-in for a model engine.
type Engine struct {
	clock       agatestage.Clock
	timing      Timing
	batchSize   int
	cacheBlocks int
	marker      string
	fencing     bool
	onCrash     func()
	onLoad      func()
	mutex       sync.Mutex
	waiting     []*sequence
	running     []*sequence
	wake        chan struct{}
	cache       map[uint64]uint64
	cacheClock  uint64
	holdings    []agatestage.Holding
	lastFence   uint64
	orders      []agatestage.Order
	stats       Stats
	reported    Stats
	seen        []string
}

// sequence is one waiting or running request.
type sequence struct {
	ctx       context.Context
	prompt    []string
	remaining int
	// tokens receives one value for each token; it is closed at the end.
	tokens chan struct{}
}

// Option configures an engine.
type Option func(*Engine)

// WithTiming sets the speed.
func WithTiming(timing Timing) Option {
	return func(engine *Engine) { engine.timing = timing }
}

// WithBatchSize sets the maximum number of running sequences.
func WithBatchSize(size int) Option {
	return func(engine *Engine) { engine.batchSize = size }
}

// WithCrashMarker makes the engine call onCrash and drop the connection on a request
// whose body contains marker.
func WithCrashMarker(marker string, onCrash func()) Option {
	return func(engine *Engine) { engine.marker, engine.onCrash = marker, onCrash }
}

// WithFencing makes the engine reject orders with an outdated fencing number.
func WithFencing() Option {
	return func(engine *Engine) { engine.fencing = true }
}

// WithHoldings sets the models and adapters that the engine has loaded from its start.
func WithHoldings(holdings ...agatestage.Holding) Option {
	return func(engine *Engine) { engine.holdings = holdings }
}

// WithClock sets the clock.
func WithClock(clock agatestage.Clock) Option {
	return func(engine *Engine) { engine.clock = clock }
}

const (
	defaultBatchSize = 32
	// cacheBlockTokens is the granularity of the prefix cache.
	cacheBlockTokens   = 8
	defaultCacheBlocks = 4096
	// tokenBuffer lets a slow reader fall behind without stalling the batch.
	tokenBuffer    = 4096
	reportInterval = 500 * time.Millisecond
)

// New returns an engine. It processes requests while Serve runs.
func New(options ...Option) *Engine {
	engine := &Engine{
		clock:       agatestage.SystemClock(),
		timing:      DefaultTiming(),
		batchSize:   defaultBatchSize,
		cacheBlocks: defaultCacheBlocks,
		wake:        make(chan struct{}, 1),
		cache:       make(map[uint64]uint64),
	}
	for _, option := range options {
		option(engine)
	}
	return engine
}

// Serve runs the step loop until ctx ends.
func (engine *Engine) Serve(ctx context.Context) error {
	ticker := engine.clock.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			engine.report()
			continue
		case <-engine.wake:
		}
		for engine.step(ctx) {
			select {
			case <-ticker.C():
				engine.report()
			default:
			}
		}
	}
}

// String returns the name of the service in logs.
func (engine *Engine) String() string {
	return "engine"
}

// report publishes the load for GET /load, which therefore lags by about
// reportInterval.
func (engine *Engine) report() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.reported = engine.currentStats()
}

func (engine *Engine) currentStats() Stats {
	stats := engine.stats
	stats.Running, stats.Waiting = len(engine.running), len(engine.waiting)
	return stats
}

// Stats returns the present state; unlike GET /load, it is not delayed.
func (engine *Engine) Stats() Stats {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.currentStats()
}

// step executes one step and reports whether sequences are left.
func (engine *Engine) step(ctx context.Context) bool {
	engine.mutex.Lock()
	prefill := engine.admit()
	count := len(engine.running)
	engine.mutex.Unlock()
	if count == 0 || ctx.Err() != nil {
		return false
	}
	timer := engine.clock.NewTimer(engine.timing.Step + time.Duration(count)*engine.timing.PerSequence + prefill)
	select {
	case <-ctx.Done():
		timer.Stop()
		return false
	case <-timer.C():
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.emit()
	return len(engine.running)+len(engine.waiting) > 0
}

// admit fills the batch from the queue and returns the prefill time of the admitted
// sequences.
func (engine *Engine) admit() (prefill time.Duration) {
	engine.running = engine.dropCancelled(engine.running)
	engine.waiting = engine.dropCancelled(engine.waiting)
	for len(engine.running) < engine.batchSize && len(engine.waiting) > 0 {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, next)
		uncached := len(next.prompt) - engine.lookup(next.prompt)
		prefill += time.Duration(uncached) * engine.timing.Prefill
	}
	return prefill
}

// dropCancelled removes the sequences whose context has ended.
func (engine *Engine) dropCancelled(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, sequence := range sequences {
		if sequence.ctx.Err() != nil {
			engine.stats.Cancelled++
			close(sequence.tokens)
			continue
		}
		kept = append(kept, sequence)
	}
	return kept
}

// emit emits a token for each running sequence and removes those that are complete.
func (engine *Engine) emit() {
	kept := engine.running[:0]
	for _, sequence := range engine.running {
		engine.stats.Tokens++
		sequence.tokens <- struct{}{}
		if sequence.remaining--; sequence.remaining <= 0 {
			close(sequence.tokens)
			continue
		}
		kept = append(kept, sequence)
	}
	engine.running = kept
}

// lookup returns the number of tokens of the prompt's prefix that are cached, and adds
// the whole prompt to the cache, evicting the least recently used blocks.
func (engine *Engine) lookup(prompt []string) (cached int) {
	hash := xxhash.New()
	prefixCached := true
	for i, token := range prompt {
		_, _ = hash.WriteString(token + " ")
		if (i+1)%cacheBlockTokens != 0 {
			continue
		}
		sum := hash.Sum64()
		if _, ok := engine.cache[sum]; ok && prefixCached {
			cached = i + 1
		} else {
			prefixCached = false
		}
		engine.cacheClock++
		engine.cache[sum] = engine.cacheClock
	}
	engine.evict()
	engine.stats.CacheHits += int64(cached)
	engine.stats.CacheLookups += int64(len(prompt))
	return cached
}

func (engine *Engine) evict() {
	if len(engine.cache) <= engine.cacheBlocks {
		return
	}
	oldest := engine.cacheClock - uint64(engine.cacheBlocks*3/4)
	for block, used := range engine.cache {
		if used < oldest {
			delete(engine.cache, block)
		}
	}
}

// enqueue adds a sequence of count tokens to the queue.
func (engine *Engine) enqueue(ctx context.Context, prompt []string, count int) *sequence {
	sequence := &sequence{ctx: ctx, prompt: prompt, remaining: count, tokens: make(chan struct{}, tokenBuffer)}
	engine.mutex.Lock()
	engine.stats.Requests++
	engine.waiting = append(engine.waiting, sequence)
	engine.mutex.Unlock()
	select {
	case engine.wake <- struct{}{}:
	default:
	}
	return sequence
}

// Order replaces the holdings of the engine. It first waits the load time of each
// missing one.
func (engine *Engine) Order(ctx context.Context, order agatestage.Order) error {
	engine.mutex.Lock()
	if engine.fencing && order.Fence < engine.lastFence {
		engine.mutex.Unlock()
		return errors.Errorf("fencing number %d is older than %d", order.Fence, engine.lastFence)
	}
	engine.lastFence = max(engine.lastFence, order.Fence)
	engine.orders = append(engine.orders, order)
	loads := engine.countMissing(order.Holdings)
	onLoad := engine.onLoad
	engine.mutex.Unlock()
	for range loads {
		if onLoad != nil {
			onLoad()
		}
		timer := engine.clock.NewTimer(engine.timing.Load)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.holdings = append([]agatestage.Holding(nil), order.Holdings...)
	return nil
}

func (engine *Engine) countMissing(wanted []agatestage.Holding) (count int) {
	held := make(map[agatestage.Holding]bool)
	for _, holding := range engine.holdings {
		held[holding] = true
	}
	for _, holding := range wanted {
		if !held[holding] {
			count++
		}
	}
	return count
}

// Orders returns the accepted orders, including those still in progress.
func (engine *Engine) Orders() []agatestage.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]agatestage.Order(nil), engine.orders...)
}

// Holdings returns the loaded models and adapters.
func (engine *Engine) Holdings() []agatestage.Holding {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]agatestage.Holding(nil), engine.holdings...)
}

// holds reports whether the engine has loaded the model or adapter.
func (engine *Engine) holds(model string) bool {
	for _, holding := range engine.Holdings() {
		if holding.Model == model || (holding.Adapter != "" && holding.Adapter == model) {
			return true
		}
	}
	return false
}

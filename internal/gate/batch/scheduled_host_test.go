package batch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/fake/store"
	"github.com/agatestage/agatestage/internal/gate/batch"
	"github.com/agatestage/agatestage/internal/gate/feeds"
	"github.com/agatestage/agatestage/internal/state/member"
)

// trouble is what a host of a random schedule suffers.
type trouble int

const (
	sound trouble = iota
	// frozen hosts' calls wait, cut hosts reach nothing, refused ones all but the store,
	// and the replies to hosts with lostReplies are lost.
	frozen
	cut
	refused
	lostReplies
	// late means that writes fail and are executed later.
	late
)

// scheduledHost is a host with its process of a gateway and its path to the store.
type scheduledHost struct {
	*store.Store
	*schedule
	gateway batch.Gateway
	manager *batch.Manager
	health  *feeds.StoreHealth
	kill    context.CancelFunc
	trouble trouble
	sound   chan struct{}
	// follows says that the host follows the heads.
	follows bool
	lease   agatestage.Lease
	until   time.Time
	// acquired is the store's revision at which the lease was acquired, joined the process
	// that acquired it.
	acquired uint64
	joined   string
	// unseenUntil is until when a host that is back is still gone for the others.
	unseenUntil time.Time
}

func (host *scheduledHost) state() (trouble, <-chan struct{}) {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	return host.trouble, host.sound
}

// await returns an error if the host's call doesn't reach the store now.
func (host *scheduledHost) await(ctx context.Context) error {
	trouble, sound := host.state()
	switch trouble {
	case frozen:
		select {
		case <-sound:
		case <-ctx.Done():
			return ctx.Err()
		}
	case cut:
		return errors.New("cut off")
	case refused:
		return agatestage.ErrUnavailable
	}
	return nil
}

// Get implements agatestage.Store.
func (host *scheduledHost) Get(ctx context.Context, key string) (agatestage.Record, error) {
	if err := host.await(ctx); err != nil {
		return agatestage.Record{}, err
	}
	return host.Store.Get(ctx, key)
}

// Watch implements agatestage.Store.
func (host *scheduledHost) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]agatestage.Record, uint64, error) {
	if err := host.await(ctx); err != nil {
		return nil, 0, err
	}
	return host.Store.Watch(ctx, prefix, after, wait)
}

// Commit implements agatestage.Transactor.
func (host *scheduledHost) Commit(ctx context.Context, conditions []agatestage.Condition, writes []agatestage.Write) (uint64, error) {
	if err := host.await(ctx); err != nil {
		return 0, err
	}
	switch trouble, sound := host.state(); trouble {
	case late:
		go func() {
			<-sound
			_, _ = host.Store.Commit(context.Background(), conditions, writes)
		}()
		return 0, errors.New("late")
	case lostReplies:
		_, _ = host.Store.Commit(ctx, conditions, writes)
		return 0, errors.New("reply lost")
	}
	return host.Store.Commit(ctx, conditions, writes)
}

// Alive implements batch.Fleet.
func (host *scheduledHost) Alive() (gateways []batch.Gateway) {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	for _, other := range host.hosts {
		if other == host || (other.linked() && host.linked()) {
			gateways = append(gateways, other.gateway)
		}
	}
	return gateways
}

// linked reports whether the host reaches others; the mutex must be held.
func (host *scheduledHost) linked() bool { return host.trouble != frozen && host.trouble != cut }

// Gone implements batch.Fleet.
func (host *scheduledHost) Gone(name, instance string) bool {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	for _, other := range host.hosts {
		if other.gateway.Name == name {
			return other.gateway.Instance != instance || (other != host && (other.isLost() || time.Now().Before(other.unseenUntil)))
		}
	}
	return true
}

// isLost reports whether the host's lease has ended for others; the mutex must be held.
func (host *scheduledHost) isLost() bool {
	return !host.linked() && time.Since(host.until) > scheduleLost
}

// Replaced implements batch.Fleet.
func (host *scheduledHost) Replaced(name, instance string) bool {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	for _, other := range host.hosts {
		if other.gateway.Name == name {
			return other.gateway.Instance != instance
		}
	}
	return false
}

// StoreOutage implements batch.Fleet.
func (host *scheduledHost) StoreOutage() time.Duration {
	if trouble, _ := host.state(); trouble == cut || trouble == refused {
		return time.Second
	}
	return 0
}

// Hold implements batch.Fleet.
func (host *scheduledHost) Hold() (lease agatestage.Lease, acquired uint64, until time.Time) {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	return host.lease, host.acquired, host.until
}

// Watching implements batch.Fleet.
func (host *scheduledHost) Watching() bool { return host.follows }

// QueryJob implements batch.Peers.
func (host *scheduledHost) QueryJob(_ context.Context, owner, id string, after int) (batch.Answer, bool) {
	if manager := host.peer(owner); manager != nil {
		return manager.AnswerQuery(id, after)
	}
	return batch.Answer{}, false
}

// HeadChanged implements batch.Peers.
func (host *scheduledHost) HeadChanged(owner string, handover batch.Handover) {
	if manager := host.peer(owner); manager != nil {
		go manager.HeadChanged(handover)
	}
}

// Submit implements batch.Peers.
func (host *scheduledHost) Submit(context.Context, string, batch.Spec) (agatestage.Record, error) {
	return agatestage.Record{}, agatestage.Refuse(agatestage.CodeStore, "not here")
}

// peer returns the manager of another host if this one reaches it.
func (host *scheduledHost) peer(name string) *batch.Manager {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	for _, other := range host.hosts {
		if other.gateway.Name == name && other.linked() && host.linked() {
			return other.manager
		}
	}
	return nil
}

// start starts a process of the host's gateway; the mutex must not be held.
func (host *scheduledHost) start(process int) {
	host.schedule.mutex.Lock()
	host.gateway.Instance = fmt.Sprint(host.gateway.Name, "-", process)
	gateway := host.gateway
	host.schedule.mutex.Unlock()
	health := feeds.NewStoreHealth(agatestage.SystemClock())
	options := []batch.Option{batch.WithPeers(host), batch.WithStoreHealth(health)}
	if !host.follows {
		options = append(options, blind())
	}
	ctx, cancel := context.WithCancel(context.Background())
	manager := batch.New(gateway, host, agatestage.SystemClock(), host.fixture.fakeRunner, host.fixture.holder, host, func(*agatestage.Call) uint64 { return 0 }, options...)
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	host.manager, host.health, host.kill = manager, health, func() {
		cancel()
		manager.Close()
	}
	go func() { _ = manager.Serve(ctx) }()
}

// suffer changes the host's trouble and renews its lease if it is sound.
func (host *scheduledHost) suffer(trouble trouble) {
	host.schedule.mutex.Lock()
	defer host.schedule.mutex.Unlock()
	if host.trouble != sound {
		close(host.sound)
		host.sound = make(chan struct{})
	}
	wasLost := host.isLost()
	if host.trouble = trouble; wasLost && host.linked() {
		host.unseenUntil = time.Now().Add(scheduleUnseen)
	}
	host.renew()
}

// renew renews the lease of a host that reaches the store; the mutex must be held.
func (host *scheduledHost) renew() {
	now := time.Now()
	if host.linked() && host.trouble != refused {
		if now.After(host.until) || host.joined != host.gateway.Instance || host.Store.Renew(context.Background(), host.lease) != nil {
			host.join()
		}
		host.until = now.Add(scheduleHold)
		host.health.RecordRenewal(nil)
	}
}

// join acquires a lease and writes the membership record; the mutex must be held.
func (host *scheduledHost) join() {
	ginkgo.GinkgoHelper()
	var err error
	host.lease, err = host.Store.Grant(context.Background(), scheduleHold+scheduleLost)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var data []byte
	data, err = json.Marshal(member.Member{Name: host.gateway.Name, Instance: host.gateway.Instance, Lease: host.lease})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	host.acquired, err = host.Store.Commit(context.Background(), nil, []agatestage.Write{{Key: member.Key(host.gateway.Name), Value: data, Lease: host.lease}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	host.joined = host.gateway.Instance
}

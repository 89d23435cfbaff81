// Package setup reads and validates the TOML settings of a process.
//
// The complete file is validated before the process starts. All faults are reported
// together, each with its file, line and field.
package setup

import (
	"net/netip"
	"time"

	"github.com/agatestage/agatestage"
)

// Duration is a duration in Go syntax, such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) (err error) {
	duration.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}

// Settings holds the static settings of one process. What operators change at run
// time is part of the configuration in the store instead.
type Settings struct {
	Name   string
	Region string
	Zone   string
	// DataFolder is where an entry stores batch ledgers; if it is empty, the entry
	// stores none.
	DataFolder string
	Listen     Listen
	Platform   Platform
	Trust      Trust
	Bounds     Bounds
	Drain      Drain
	Targets    []Target
	Limits     Limits
	// Zones maps each availability zone to its region; required for a gateway.
	Zones map[string]string
	// Sharing lets a gateway order waiting online calls of the same priority by what their
	// organisations have recently used of the slots, against their rates. All gateways of a
	// system should have the same setting.
	Sharing bool
	// Placement turns on how a gateway chooses among targets.
	Placement Placement
}

// Placement holds what a gateway goes by when it chooses a target, besides the slots in use and the
// distance. Both are off by default.
type Placement struct {
	// Pace measures targets and places calls by what they are foreseen to take.
	Pace bool
	// Even draws targets of other gateways at random, weighted by their free slots.
	Even bool
}

// Listen holds the addresses that the process binds.
type Listen struct {
	// Peer is the QUIC address for other processes of the system.
	Peer netip.AddrPort
	// Advertise is the peer address announced to other processes; Peer if unset.
	Advertise netip.AddrPort
	Caller    netip.AddrPort
	Admin     netip.AddrPort
	Metrics   netip.AddrPort
	// Ready is the address of a gateway's readiness probe for the load balancer.
	Ready netip.AddrPort
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Store string
	Hosts string
}

// Trust holds the location of the certificates and the initial operator keys.
type Trust struct {
	// Folder holds ca.pem, host.pem and host.key.
	Folder string
	// OperatorDigests holds the digests of operator keys that are valid without a
	// configuration, so that operators can create the first one.
	OperatorDigests []string
}

// Bounds holds the limits on callers' requests and on stored jobs.
type Bounds struct {
	// BodyBytes limits the body of an online request.
	BodyBytes int64
	// ItemBytes limits a batch item.
	ItemBytes int
	// JobItems and JobBytes limit a batch job.
	JobItems int
	JobBytes int64
	// BodyTime limits how long a caller may take to send a body.
	BodyTime Duration
	// RequestTime is the time-out of a request that sets none.
	RequestTime Duration
	// LimitWait limits how long a request waits for its organisation's rate limit.
	LimitWait Duration
	// DiskBytes limits the size of the ledgers under DataFolder, Retain their age.
	DiskBytes int64
	Retain    Duration
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	// Notice is how long an entry continues to accept requests after it has started
	// to report not ready, and how long a side that leaves refuses calls at least.
	Notice Duration
	// Limit limits the wait for requests in flight.
	Limit Duration
}

// Target is a back end on the host of this process.
type Target struct {
	Name    string
	Kind    agatestage.Kind
	Address netip.AddrPort
	// Slots is the number of calls that can run concurrently without slowing one
	// another down.
	Slots int
	// Queue is the number of online calls that may wait for a slot.
	Queue int
	// Spacing is the minimum interval between the start of a call and the start of a
	// batch call after it, while online calls run. It should exceed the duration of
	// a decoding step of the engine; a negative value disables it.
	Spacing Duration
}

// Default values of settings that the file leaves out.
const (
	defaultBodyBytes   = 8 << 20
	defaultItemBytes   = 1 << 20
	defaultJobItems    = 460_000
	defaultJobBytes    = 2 << 30
	defaultBodyTime    = 20 * time.Second
	defaultRequestTime = 60 * time.Second
	defaultLimitWait   = 3 * time.Second
	defaultDiskBytes   = 20 << 30
	defaultRetain      = 7 * 24 * time.Hour
	defaultNotice      = 3 * time.Second
	defaultDrainLimit  = 60 * time.Second
	defaultSlots       = 16
	defaultQueue       = 32
	defaultSpacing     = 25 * time.Millisecond
)

// Defaults returns the settings of an empty file.
func Defaults() Settings {
	return Settings{
		Bounds: Bounds{
			BodyBytes:   defaultBodyBytes,
			ItemBytes:   defaultItemBytes,
			JobItems:    defaultJobItems,
			JobBytes:    defaultJobBytes,
			BodyTime:    Duration{defaultBodyTime},
			RequestTime: Duration{defaultRequestTime},
			LimitWait:   Duration{defaultLimitWait},
			DiskBytes:   defaultDiskBytes,
			Retain:      Duration{defaultRetain},
		},
		Drain: Drain{Notice: Duration{defaultNotice}, Limit: Duration{defaultDrainLimit}},
	}
}

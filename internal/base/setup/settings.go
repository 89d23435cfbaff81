// Package setup reads and checks the TOML settings of a process.
//
// The whole file is checked before anything starts. Every fault is reported
// with its file, line and field, all of them together.
package setup

import (
	"net/netip"
	"time"

	"github.com/agatestage/agatestage"
)

// Duration is a time span written as Go writes it, such as "1.5s".
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

// Settings is the configuration of one process. What operators change while it
// runs is not here but in the configuration that the store holds.
type Settings struct {
	Name   string
	Region string
	Zone   string
	// DataFolder makes an entry keep batch ledgers there.
	DataFolder string
	Listen     Listen
	Platform   Platform
	Trust      Trust
	Bounds     Bounds
	Drain      Drain
	Targets    []Target
	// Zones maps each availability zone to its region; a gateway needs it.
	Zones map[string]string
}

// Listen holds the addresses that the process binds.
type Listen struct {
	// Peer is the QUIC address for the system's own processes.
	Peer netip.AddrPort
	// Advertise is the peer address that others are told, if it isn't Peer.
	Advertise netip.AddrPort
	Caller    netip.AddrPort
	Admin     netip.AddrPort
	Metrics   netip.AddrPort
	// Ready is where a gateway tells the balancer whether it takes callers.
	Ready netip.AddrPort
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Store string
	Hosts string
}

// Trust names the certificates and the first operators.
type Trust struct {
	// Folder holds ca.pem, host.pem and host.key.
	Folder string
	// OperatorDigests are the digests of operator keys that hold without
	// configuration, so that the first one can be made.
	OperatorDigests []string
}

// Bounds limits what callers may send.
type Bounds struct {
	// BodyBytes bounds an online request's body.
	BodyBytes int64
	// ItemBytes bounds one batch item.
	ItemBytes int
	// JobItems and JobBytes bound one batch job.
	JobItems int
	JobBytes int64
	// BodyTime bounds how long a caller may take to send a body.
	BodyTime Duration
	// RequestTime is the deadline of a request that names none.
	RequestTime Duration
	// LimitWait bounds how long a request waits for its organisation's rate.
	LimitWait Duration
	// DiskBytes bounds the ledgers under DataFolder; Retain their age.
	DiskBytes int64
	Retain    Duration
}

// Drain sets the pace of a planned stop.
type Drain struct {
	// Notice is how long an entry still serves after it reports not ready.
	Notice Duration
	// Limit bounds the wait for requests in flight.
	Limit Duration
}

// Target is a back end beside this process.
type Target struct {
	Name    string
	Kind    agatestage.Kind
	Address netip.AddrPort
	// Slots is how many calls run at once without harm to their pace.
	Slots int
	// Queue is how many online calls may wait for a slot.
	Queue int
	// Spacing is the least time between the beginnings of two calls of which
	// the later is a batch call, while online calls run. It should exceed a
	// step of the engine; a negative value sets none.
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

// Defaults returns the settings that an empty file stands for.
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

package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/base/ticks"
)

// reloadPeriod is the time between checks of the files for changes.
const reloadPeriod = 2 * time.Second

// alpnProtocol is the ALPN name of the protocol between the system's processes.
const alpnProtocol = "agatestage/1"

// Bundle holds the current certificate of a process and the authority that it
// trusts. It reloads changed files, so that a renewed certificate needs no restart.
// If they can't be loaded, the previous certificates stay in use.
type Bundle struct {
	// folder is empty if the certificate exists in memory only.
	folder  string
	clock   agatestage.Clock
	current atomic.Pointer[credentials]
	// packetKey seals packets; nil if the certificate was read from files.
	packetKey []byte
}

// PacketKey returns the key that the fleet's packets are sealed with, or nil if this
// process doesn't know it.
func (bundle *Bundle) PacketKey() []byte {
	return bundle.packetKey
}

// credentials are the certificates and key from one load of the files.
type credentials struct {
	certificate  tls.Certificate
	authorities  *x509.CertPool
	lastModified time.Time
}

// Open loads the certificates and key in the folder.
func Open(folder string, clock agatestage.Clock) (*Bundle, error) {
	bundle := &Bundle{folder: folder, clock: clock}
	if err := bundle.load(); err != nil {
		return nil, err
	}
	return bundle, nil
}

// Serve reloads the files when they change, until ctx ends.
func (bundle *Bundle) Serve(ctx context.Context) error {
	if bundle.folder == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	return ticks.Every(ctx, bundle.clock, reloadPeriod, func(context.Context) { bundle.reload() })
}

// String names the service in logs.
func (bundle *Bundle) String() string {
	return "certificates"
}

// reload loads the files again if any of them has changed.
func (bundle *Bundle) reload() {
	if bundle.lastModified().Equal(bundle.current.Load().lastModified) {
		return
	}
	if err := bundle.load(); err != nil {
		klog.ErrorS(err, "certificates not reloaded; the previous ones stay in use", "folder", bundle.folder)
		return
	}
	klog.InfoS("certificates reloaded", "folder", bundle.folder)
}

func (bundle *Bundle) load() error {
	lastModified := bundle.lastModified()
	certificate, err := tls.LoadX509KeyPair(filepath.Join(bundle.folder, HostFile), filepath.Join(bundle.folder, HostKeyFile))
	if err != nil {
		return errors.Wrap(err, "load host certificate")
	}
	var data []byte
	if data, err = os.ReadFile(filepath.Join(bundle.folder, AuthorityFile)); err != nil {
		return errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return errors.Errorf("%s holds no certificate", AuthorityFile)
	}
	bundle.current.Store(&credentials{certificate: certificate, authorities: pool, lastModified: lastModified})
	return nil
}

// lastModified returns the latest modification time of the files.
func (bundle *Bundle) lastModified() (newest time.Time) {
	for _, name := range []string{AuthorityFile, HostFile, HostKeyFile} {
		if info, err := os.Stat(filepath.Join(bundle.folder, name)); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// ServerConfig returns the TLS configuration for accepting connections from peers.
func (bundle *Bundle) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := bundle.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{alpnProtocol},
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connecting to peers.
func (bundle *Bundle) ClientConfig() *tls.Config {
	current := bundle.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		ServerName:   FleetName,
		RootCAs:      current.authorities,
		Certificates: []tls.Certificate{current.certificate},
	}
}

// Identity is the identity of a verified peer.
type Identity struct {
	Host string
	Role agatestage.Role
}

// PeerIdentity returns the identity from the verified certificate of a connection's peer.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 {
		return Identity{}, errors.New("peer has no verified certificate")
	}
	subject := state.VerifiedChains[0][0].Subject
	identity := Identity{Host: subject.CommonName}
	if len(subject.OrganizationalUnit) > 0 {
		identity.Role = agatestage.Role(subject.OrganizationalUnit[0])
	}
	return identity, nil
}

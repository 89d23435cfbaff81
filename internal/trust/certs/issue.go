// Package certs issues and loads the certificates with which the system's own
// processes authenticate to each other.
//
// Operators keep one fleet authority. Each host has a certificate whose common name
// is the host's name and whose organisational unit is its role. All hosts share one
// DNS name, so a peer is verified against the authority and then identified by its
// common name.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// FleetName is the DNS name in every certificate of the fleet.
const FleetName = "fleet.agatestage.internal"

// The files of a trust folder.
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca.key"
	HostFile         = "host.pem"
	HostKeyFile      = "host.key"
)

const (
	// authorityValidity and hostValidity are the validity of new certificates.
	authorityValidity = 10 * 365 * 24 * time.Hour
	hostValidity      = 90 * 24 * time.Hour
	// clockSkewAllowance is how far a certificate's start of validity lies in the
	// past, to allow for clocks that are behind.
	clockSkewAllowance = time.Hour
	serialBits         = 120
)

// Authority is the certificate authority of a fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	clock       agatestage.Clock
}

// NewAuthority creates a fleet authority with a new key.
func NewAuthority(clock agatestage.Clock) (authority *Authority, err error) {
	template := template("agatestage fleet authority", clock.Now(), authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	authority = &Authority{clock: clock}
	if authority.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	var der []byte
	if der, err = x509.CreateCertificate(rand.Reader, template, template, authority.key.Public(), authority.key); err != nil {
		return nil, errors.Wrap(err, "sign authority")
	}
	if authority.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	return authority, nil
}

// ReadAuthority loads an authority that Save has written.
func ReadAuthority(folder string, clock agatestage.Clock) (authority *Authority, err error) {
	authority = &Authority{clock: clock}
	var block *pem.Block
	if block, err = readBlock(filepath.Join(folder, AuthorityFile)); err != nil {
		return nil, err
	}
	if authority.certificate, err = x509.ParseCertificate(block.Bytes); err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	if block, err = readBlock(filepath.Join(folder, AuthorityKeyFile)); err != nil {
		return nil, err
	}
	if authority.key, err = x509.ParseECPrivateKey(block.Bytes); err != nil {
		return nil, errors.Wrap(err, "parse authority key")
	}
	return authority, nil
}

// Save writes the authority's certificate and key to the folder.
func (authority *Authority) Save(folder string) error {
	if err := writePair(folder, AuthorityFile, AuthorityKeyFile, authority.certificate.Raw, authority.key); err != nil {
		return err
	}
	return nil
}

// Issue writes a new certificate and key for a host to the folder, together with
// the authority's certificate.
func (authority *Authority) Issue(folder, host string, role agatestage.Role) error {
	der, key, err := authority.sign(host, role)
	if err != nil {
		return err
	}
	if err = writePair(folder, HostFile, HostKeyFile, der, key); err != nil {
		return err
	}
	return writeBlock(filepath.Join(folder, AuthorityFile), "CERTIFICATE", authority.certificate.Raw)
}

// sign generates a host's key and signs its certificate.
func (authority *Authority) sign(host string, role agatestage.Role) (der []byte, key *ecdsa.PrivateKey, err error) {
	template := template(host, authority.clock.Now(), hostValidity)
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.DNSNames = []string{FleetName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, nil, errors.Wrap(err, "generate host key")
	}
	der, err = x509.CreateCertificate(rand.Reader, template, authority.certificate, key.Public(), authority.key)
	return der, key, errors.Wrap(err, "sign host certificate")
}

// Bundle issues a new certificate for a host in memory only.
func (authority *Authority) Bundle(host string, role agatestage.Role) (*Bundle, error) {
	der, key, err := authority.sign(host, role)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	bundle := &Bundle{clock: authority.clock}
	bundle.current.Store(&credentials{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, authorities: pool})
	return bundle, nil
}

// template returns the fields that all certificates have in common.
func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	// The serial is random. rand.Int fails only if its bound isn't positive.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(validity),
	}
}

// writePair writes a certificate and its key to the folder.
func writePair(folder, certificateFile, keyFile string, der []byte, key *ecdsa.PrivateKey) (err error) {
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "make trust folder")
	}
	var keyDER []byte
	if keyDER, err = x509.MarshalECPrivateKey(key); err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err = writeBlock(filepath.Join(folder, keyFile), "EC PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writeBlock(filepath.Join(folder, certificateFile), "CERTIFICATE", der)
}

// writeBlock atomically replaces a file, so that a reload never reads a partial
// file.
func writeBlock(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace certificate")
}

func readBlock(path string) (*pem.Block, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, errors.Errorf("%s holds no PEM block", path)
	}
	return block, nil
}

package certs

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/x509"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// sharedAuthorityKey is the store key of the fleet authority that gateways share.
// Whoever can write to the platform's store controls everything that gateways read
// from it, so the authority needs no stronger protection than the store.
const sharedAuthorityKey = "trust/authority"

// packetKeyPurpose separates the key of packets from others derived from the authority;
// packetKeyBytes is its size, that of AES-256.
const (
	packetKeyPurpose = "agatestage packets"
	packetKeyBytes   = 32
)

// shared is an authority's record in the store.
type shared struct {
	Certificate []byte
	Key         []byte
}

// OpenShared issues a certificate for a host with the authority in the store, which
// it creates if there is none yet.
func OpenShared(ctx context.Context, store agatestage.Store, host string, role agatestage.Role, clock agatestage.Clock) (*Bundle, error) {
	authority, err := sharedAuthority(ctx, store, clock)
	if err != nil {
		return nil, err
	}
	var bundle *Bundle
	if bundle, err = authority.Bundle(host, role); err != nil {
		return nil, err
	}
	bundle.packetKey, err = authority.PacketKey()
	return bundle, err
}

// PacketKey derives the key that seals the packets between processes which hold the
// authority's key.
func (authority *Authority) PacketKey() ([]byte, error) {
	secret, err := x509.MarshalECPrivateKey(authority.key)
	if err != nil {
		return nil, errors.Wrap(err, "encode authority key")
	}
	var key []byte
	key, err = hkdf.Key(sha256.New, secret, nil, packetKeyPurpose, packetKeyBytes)
	return key, errors.Wrap(err, "derive packet key")
}

// sharedAuthority reads the authority from the store, or creates it there.
func sharedAuthority(ctx context.Context, store agatestage.Store, clock agatestage.Clock) (*Authority, error) {
	record, err := store.Get(ctx, sharedAuthorityKey)
	if err == nil {
		return decodeShared(record.Value, clock)
	}
	if !errors.Is(err, agatestage.ErrNotFound) {
		return nil, err
	}
	var authority *Authority
	if authority, err = NewAuthority(clock); err != nil {
		return nil, err
	}
	var data []byte
	if data, err = authority.encodeShared(); err != nil {
		return nil, err
	}
	if _, err = store.Swap(ctx, sharedAuthorityKey, 0, data, ""); err == nil {
		return authority, nil
	}
	// Another host wrote an authority first, or the reply was lost. In both cases
	// the record in the store is authoritative.
	if record, err = store.Get(ctx, sharedAuthorityKey); err != nil {
		return nil, err
	}
	return decodeShared(record.Value, clock)
}

func (authority *Authority) encodeShared() ([]byte, error) {
	key, err := x509.MarshalECPrivateKey(authority.key)
	if err != nil {
		return nil, errors.Wrap(err, "encode authority key")
	}
	data, err := json.Marshal(shared{Certificate: authority.certificate.Raw, Key: key})
	return data, errors.Wrap(err, "encode authority")
}

func decodeShared(data []byte, clock agatestage.Clock) (authority *Authority, err error) {
	var stored shared
	if err = json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode authority")
	}
	authority = &Authority{clock: clock}
	if authority.certificate, err = x509.ParseCertificate(stored.Certificate); err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	authority.key, err = x509.ParseECPrivateKey(stored.Key)
	return authority, errors.Wrap(err, "parse authority key")
}

package certs

import (
	"context"
	"crypto/x509"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/agatestage/agatestage"
)

// sharedKey is where gateways share their fleet authority. Whoever may write
// the platform's store may set all that a gateway believes, so the authority
// needs no better guard than the store.
const sharedKey = "trust/authority"

// shared is the stored form of an authority.
type shared struct {
	Certificate []byte
	Key         []byte
}

// OpenShared issues a certificate for a host from the authority in the store,
// which it makes if there is none yet.
func OpenShared(ctx context.Context, store agatestage.Store, host string, role agatestage.Role, clock agatestage.Clock) (*Bundle, error) {
	authority, err := sharedAuthority(ctx, store, clock)
	if err != nil {
		return nil, err
	}
	return authority.Bundle(host, role)
}

// sharedAuthority reads the authority from the store, or makes it.
func sharedAuthority(ctx context.Context, store agatestage.Store, clock agatestage.Clock) (*Authority, error) {
	record, err := store.Get(ctx, sharedKey)
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
	if _, err = store.Swap(ctx, sharedKey, 0, data, ""); err == nil {
		return authority, nil
	}
	// Another host was first, or the reply was lost: what the store has counts.
	if record, err = store.Get(ctx, sharedKey); err != nil {
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

// Package keys creates and verifies the API keys of callers and operators.
//
// A key has the form ag_<ID>_<secret>. Its record is looked up by the ID. The record
// holds only the SHA-256 digest of the whole key; a slow hash is not needed because
// the secret is long and random.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const (
	keyPrefix   = "ag"
	idBytes     = 6
	secretBytes = 24
	keyFields   = 3
)

// Key is a new key. Secret is the whole key, which is shown once and never stored.
type Key struct {
	ID     string
	Secret string
	Digest string
}

// New returns a new random key.
func New() Key {
	id := randomHex(idBytes)
	secret := strings.Join([]string{keyPrefix, id, randomHex(secretBytes)}, "_")
	return Key{ID: id, Secret: secret, Digest: Digest(secret)}
}

// Digest returns the hexadecimal digest that is stored for a key.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Match reports whether a key has the stored digest. It takes constant time.
func Match(secret, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(Digest(secret)), []byte(digest)) == 1
}

// ID returns the ID in a key, or false if the key is malformed.
func ID(secret string) (string, bool) {
	fields := strings.Split(secret, "_")
	if len(fields) != keyFields || fields[0] != keyPrefix || fields[1] == "" {
		return "", false
	}
	return fields[1], true
}

// FromRequest returns the key from a request's Authorization header, or else from
// its X-Api-Key header.
func FromRequest(request *http.Request) string {
	const scheme = "bearer "
	value := request.Header.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return request.Header.Get("X-Api-Key")
	}
	return strings.TrimSpace(value[len(scheme):])
}

// credentialHeaders are the header fields that may hold a caller's credentials.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// RemoveCredentials removes every header field that may hold a credential.
func RemoveCredentials(header http.Header) {
	for _, name := range credentialHeaders {
		header.Del(name)
	}
}

func randomHex(length int) string {
	bytes := make([]byte, length)
	// rand.Read never returns an error: it ends the process if the system has no
	// entropy.
	_, _ = rand.Read(bytes)
	return hex.EncodeToString(bytes)
}

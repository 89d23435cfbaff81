// Package guard authenticates requests by their keys.
//
// Keys are looked up in the local configuration. An entry that can't tell whether
// a key has been withdrawn refuses requests with keys. This is the case if the
// store has not answered it for some time and the other entries don't all confirm
// that the store is unavailable.
package guard

import (
	"net/http"
	"time"

	"github.com/agatestage/agatestage"
	"github.com/agatestage/agatestage/internal/conf/feed"
	"github.com/agatestage/agatestage/internal/conf/model"
	"github.com/agatestage/agatestage/internal/trust/keys"
)

// maxStoreSilence is how long an entry trusts its configuration without an answer
// from the store.
const maxStoreSilence = 10 * time.Second

// OutageConfirmer reports whether all other entries are reachable and report that
// the store does not answer them either and that they have no higher revision.
type OutageConfirmer interface {
	StoreOutageConfirmed() bool
}

// Guard checks keys.
type Guard struct {
	feed            *feed.Feed
	clock           agatestage.Clock
	outageConfirmer OutageConfirmer
	operatorDigests []string
	startedAt       time.Time
}

// New returns a guard. Keys with one of the operatorDigests are operators' keys
// independently of the configuration.
func New(feed *feed.Feed, outageConfirmer OutageConfirmer, operatorDigests []string, clock agatestage.Clock) *Guard {
	return &Guard{feed: feed, outageConfirmer: outageConfirmer, operatorDigests: operatorDigests, clock: clock, startedAt: clock.Now()}
}

// Fresh reports whether the local configuration is known to be current.
func (guard *Guard) Fresh() bool {
	answeredAt := guard.feed.StoreAnsweredAt()
	if !answeredAt.IsZero() && guard.clock.Since(answeredAt) < maxStoreSilence {
		return true
	}
	return guard.feed.Current().Revision > 0 && guard.outageConfirmer.StoreOutageConfirmed()
}

// Authenticate returns the organisation that the request's key belongs to.
func (guard *Guard) Authenticate(request *http.Request) (string, error) {
	secret := keys.FromRequest(request)
	if secret == "" {
		return "", agatestage.Refuse(agatestage.CodeNoKey, "a key is required: Authorization: Bearer <key>")
	}
	if !guard.Fresh() {
		return "", notFresh()
	}
	key, err := guard.findKey(secret)
	if err != nil {
		return "", err
	}
	if key.Operator {
		return "", agatestage.Refuse(agatestage.CodeForbidden, "an operator's key does not admit callers")
	}
	return key.Organisation, nil
}

// notFresh returns the refusal of a request with a key while the local configuration
// may be out of date.
func notFresh() *agatestage.Refusal {
	refusal := agatestage.Refuse(agatestage.CodeNotFresh, "this entry can't tell whether keys have been withdrawn; another entry may")
	refusal.RetryAfter = time.Second
	return refusal
}

// findKey returns the key's record if the key is known and not withdrawn.
func (guard *Guard) findKey(secret string) (model.Key, error) {
	id, ok := keys.ID(secret)
	key, known := guard.feed.Current().Keys[id]
	if !ok || !known || !keys.Match(secret, key.Digest) {
		return model.Key{}, agatestage.Refuse(agatestage.CodeBadKey, "the key is not known")
	}
	if key.Withdrawn {
		return model.Key{}, agatestage.Refuse(agatestage.CodeWithdrawn, "the key has been withdrawn")
	}
	return key, nil
}

// Operator returns nil if the request's key is an operator's.
func (guard *Guard) Operator(request *http.Request) error {
	secret := keys.FromRequest(request)
	if secret == "" {
		return agatestage.Refuse(agatestage.CodeNoKey, "an operator's key is required: Authorization: Bearer <key>")
	}
	for _, digest := range guard.operatorDigests {
		if keys.Match(secret, digest) {
			return nil
		}
	}
	if !guard.Fresh() {
		return notFresh()
	}
	key, err := guard.findKey(secret)
	if err != nil {
		return err
	}
	if !key.Operator {
		return agatestage.Refuse(agatestage.CodeForbidden, "the key is not an operator's")
	}
	return nil
}

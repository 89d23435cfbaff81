package grant

import (
	"time"
)

// Receive applies the reply to a request and returns the organisations that have
// new tokens.
func (client *Client) Receive(outgoing Outgoing, reply Reply) (granted []string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock.Now()
	link := client.link(outgoing.Owner)
	link.inFlight = false
	if link.instance != reply.Instance {
		link.instance, link.confirms, link.reportedSettled = reply.Instance, 0, 0
	}
	first := link.confirms == 0
	link.confirms, link.replied = outgoing.Ask.Seq, now
	// The owner keeps this entry's share reserved until a reply is confirmed.
	if first || outgoing.Ask.Settled > link.reportedSettled {
		link.reportedSettled = outgoing.Ask.Settled
		link.schedule(now)
	}
	for i := range client.slices {
		slice := &client.slices[i]
		// An owner without authority grants nothing, so its reply is no reason to
		// leave the share unused.
		if slice.owner == outgoing.Owner && slice.since <= outgoing.Ask.Seen && reply.Life > 0 {
			slice.replied = now
			slice.share = min(client.share, outgoing.Ask.Share)
		}
		if slice.former == outgoing.Owner && slice.since <= outgoing.Ask.Seen && slice.owner != slice.former {
			client.released(slice, reply, now)
		}
	}
	given := make(map[string]float64, len(reply.Grants))
	expires := outgoing.Sent.Add(reply.Life)
	for _, organisation := range reply.Renewed {
		client.balance(organisation).renew(expires)
	}
	for _, grant := range reply.Grants {
		given[grant.Organisation] = grant.Tokens
		balance := client.balance(grant.Organisation)
		balance.grants = append(balance.grants, held{tokens: grant.Tokens, expires: expires})
		granted = append(granted, grant.Organisation)
	}
	client.scheduleNext(outgoing, given, now)
	return granted
}

// released records that a former owner knows the newer table and grants nothing
// more. Its last grants expire Life after they were made.
func (client *Client) released(slice *slice, reply Reply, now time.Time) {
	if settledAt := now.Add(max(0, Life-reply.Idle)); settledAt.Before(slice.settledAt) {
		slice.settledAt = settledAt
		client.link(slice.owner).schedule(settledAt)
	}
}

// scheduleNext schedules a request for the tokens that are still needed, after
// unmetRetryDelay if the owner granted fewer than requested. The tokens held are
// renewed with a later request.
func (client *Client) scheduleNext(outgoing Outgoing, given map[string]float64, now time.Time) {
	for _, want := range outgoing.Ask.Wants {
		balance := client.balances[want.Organisation]
		if balance == nil {
			continue
		}
		if given[want.Organisation] < want.Tokens {
			balance.retryAt = now.Add(unmetRetryDelay)
		}
		if balance.waiting > 0 {
			client.markDirty(want.Organisation, outgoing.Owner, now)
		} else if balance.tokens() > 0 {
			client.link(outgoing.Owner).dirty[want.Organisation] = true
		}
	}
}

// Fail records that a request had no reply. The caller drops a reply that is
// received later.
func (client *Client) Fail(outgoing Outgoing) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	link := client.link(outgoing.Owner)
	link.inFlight = false
	for _, want := range outgoing.Ask.Wants {
		link.dirty[want.Organisation] = true
	}
}

// sweep removes the balances of organisations without recent requests.
func (client *Client) sweep(now time.Time) {
	if now.Sub(client.swept) < idleTimeout {
		return
	}
	client.swept = now
	for organisation, balance := range client.balances {
		if now.Sub(balance.used) > idleTimeout && balance.waiting == 0 {
			delete(client.balances, organisation)
		}
	}
}

package intake

import "net/netip"

// reservedEighths is the part of the pool and of the connections, in eighths, that an address may
// not use which has more than half of all. Requests that run can't be dropped, so that callers
// elsewhere would find no room otherwise.
const reservedEighths = 1

// usage is what one address has of a pool.
type usage struct {
	bytes int64
	conns int
}

// networkBits is the size of the network that one client of IPv6 usually has for itself.
const networkBits = 64

// clientOf returns the address that stands for a client: its own one in IPv4, that of its network in IPv6.
func clientOf(address netip.Addr) netip.Addr {
	address = address.Unmap().WithZone("")
	if !address.Is6() {
		return address
	}
	// The size fits each address of IPv6, so that there is no error.
	network, _ := address.Prefix(networkBits)
	return network.Addr()
}

// addUsage changes what an address has; the mutex must be held.
func (pool *Pool) addUsage(address netip.Addr, change usage) {
	has := pool.addresses[address]
	has.bytes, has.conns = has.bytes+change.bytes, has.conns+change.conns
	if has == (usage{}) {
		delete(pool.addresses, address)
		return
	}
	pool.addresses[address] = has
}

// remove forgets the connection of a hold, whose bytes may still be in use; the mutex must be held.
func (pool *Pool) remove(hold *Hold) {
	if _, ok := pool.holds[hold]; ok {
		delete(pool.holds, hold)
		pool.addUsage(hold.address, usage{conns: -1})
	}
}

// connsFor returns how many connections there may be for one more of an address.
func (pool *Pool) connsFor(address netip.Addr) int {
	if pool.addresses[address].conns <= pool.sizes.Conns/2 {
		return pool.sizes.Conns
	}
	return pool.sizes.Conns - pool.sizes.Conns*reservedEighths/8
}

// bytesFor returns how many bytes there may be for a small request of an address.
func (pool *Pool) bytesFor(address netip.Addr) int64 {
	if pool.addresses[address].bytes <= pool.sizes.Pool/2 {
		return pool.sizes.Pool
	}
	return pool.sizes.Pool - pool.sizes.Pool*reservedEighths/8
}

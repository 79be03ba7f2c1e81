// Package lab simulates boxes, servers and callers under load, in virtual time. Servers, links,
// gossip and callers are simulated; the decisions of the boxes are made by the production code:
// path selection (fleet), handling of requests without capacity (overload), retries (retry),
// quarantine of poison requests (quarantine), rate-limit grants (allowance) and layer placement
// (place).
//
// A scenario is a TOML file. The same scenario and seed always give the same result.
package lab

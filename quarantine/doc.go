// Package quarantine identifies poison requests, which crash the backend servers that run them, and
// keeps them from further servers.
//
// A crashed server runs dozens of requests, of which at most one is the cause. That one is sent
// again, and the next server crashes as well. Crashes are therefore counted as a streak: a crash
// counts one more than the streak known when the attempt began. A rack that fails under a thousand
// attempts of one popular request thus counts once. A request that is answered completely crashes
// no servers, and everything counted for it is dropped.
//
// After two consecutive quick crashes, or three crashes of any kind, a suspect is sent as a trial
// only: one at a time among all boxes, at a server that holds the first layers (a first server)
// without another trial, and beside as few streams as possible. If that server crashes as well, and
// no other suspect with as high a crash streak ran there, the request is held back.
//
// Nothing here reads a clock, sends or logs. The boxes share entries through the store, and early
// suspects by messages.
package quarantine

package quarantine

const (
	// successesPerCrash is how many successes of a request outweigh one crash under it. If a
	// request crashes every second server, its crashes are not outweighed; those under a popular
	// request are, while servers crash for other causes. Otherwise some requests equal to a popular
	// one would be refused beside a poison request.
	successesPerCrash = 4
	// maxSuccesses limits the counted successes of a request, so that one that begins to crash
	// servers is detected after ten crashes at each box.
	maxSuccesses = 40
	// generationSize is the minimum number of recently answered requests that are remembered.
	// Popular requests are answered again before that many others are.
	generationSize = 4096
)

// successCounts counts the recent successes of requests. Counts live in two generations, so that
// requests not answered for long are forgotten.
type successCounts struct {
	recent, older map[Fingerprint]int
}

func newSuccessCounts() successCounts {
	return successCounts{recent: make(map[Fingerprint]int), older: make(map[Fingerprint]int)}
}

// count returns the successes of a request that no crash has used up.
func (a *successCounts) count(f Fingerprint) int {
	if n, ok := a.recent[f]; ok {
		return n
	}

	return a.older[f]
}

// known reports whether the request was answered recently.
func (a *successCounts) known(f Fingerprint) bool {
	_, recent := a.recent[f]
	_, older := a.older[f]

	return recent || older
}

// set sets the successes of a request.
func (a *successCounts) set(f Fingerprint, n int) {
	if len(a.recent) >= generationSize {
		a.recent, a.older = a.older, a.recent
		clear(a.recent)
	}
	a.recent[f] = n
}

// outweighCrash reports whether the successes of a request outweigh a crash under it.
func (a *successCounts) outweighCrash(f Fingerprint) bool { return a.count(f) >= successesPerCrash }

// spend uses up successes for one crash, if there are enough.
func (a *successCounts) spend(f Fingerprint) bool {
	if !a.outweighCrash(f) {
		return false
	}
	a.set(f, a.count(f)-successesPerCrash)

	return true
}

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
)

// successCounts counts the recent successes of requests.
type successCounts struct {
	generations[int]
}

func newSuccessCounts() successCounts {
	return successCounts{newGenerations[int]()}
}

// count returns the successes of a request that no crash has used up.
func (a *successCounts) count(f Fingerprint) int {
	n, _ := a.get(f)

	return n
}

// known reports whether the request was answered recently.
func (a *successCounts) known(f Fingerprint) bool {
	_, ok := a.get(f)

	return ok
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

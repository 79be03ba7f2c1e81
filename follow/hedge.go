package follow

import (
	"context"
	"time"
)

// hedge calls f, and once more beside it if there is no result after the delay. It returns the first result
// without an error, or the last error. beforeSecond, if not nil, is called before the second call.
func hedge[T any](ctx context.Context, delay time.Duration, beforeSecond func(), f func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	call := func() {
		v, err := f(ctx)
		results <- result{v, err}
	}
	go call()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for running := 1; ; {
		select {
		case <-timer.C:
			if beforeSecond != nil {
				beforeSecond()
			}
			running++
			go call()
		case r := <-results:
			if running--; r.err == nil || running == 0 {
				return r.value, r.err
			}
		}
	}
}

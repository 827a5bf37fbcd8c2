package budgeter

import "math"

// buckets is the number of buckets in a window. A window that begins within a bucket is taken as longer for the retries and
// as shorter for the calls, so more buckets waste less of the budget.
const buckets = 40

// history is the number of buckets that an account keeps: a window of retries and the calls of half a window before it.
const history = 2 * buckets

// account grants retries for calls. In any window it grants at most the ratio of the calls in the window that begins half a
// window earlier, plus slack. Each call belongs to one account, so this holds for the sum of all accounts as well, whatever
// the daemons know of each other.
type account struct {
	delay  int64 // number of buckets within which a granted retry arrives at the upstream
	newest int64 // number of the newest bucket
	calls  [history]float64
	grants [history]float64
}

// advance makes a bucket the newest one.
func (a *account) advance(bucket int64) {
	if bucket-a.newest >= history {
		*a = account{delay: a.delay, newest: bucket}
	}
	for a.newest < bucket {
		a.newest++
		a.calls[a.newest%history], a.grants[a.newest%history] = 0, 0
	}
}

// addCall adds a call, or a part of one, that began in a bucket.
func (a *account) addCall(bucket int64, part float64) {
	bucket = min(bucket, a.newest)
	if bucket > max(a.newest-history, -1) {
		a.calls[bucket%history] += part
	}
}

// addGrant records a retry that is granted in the newest bucket.
func (a *account) addGrant() {
	a.grants[a.newest%history]++
}

// room returns how many retries can be granted now: the fewest that is left in any window in which they may arrive.
func (a *account) room(ratio, slack float64) float64 {
	calls, grants := prefixSums(&a.calls, a.newest), prefixSums(&a.grants, a.newest)
	room := math.Inf(1)
	for first := a.newest - buckets; first <= a.newest+a.delay; first++ {
		allowed := ratio*calls.between(first-buckets/2+1, first+buckets/2-1) + slack
		room = min(room, allowed-grants.between(first-a.delay, a.newest))
	}
	return room
}

// used returns the retries of the last window as a share of these and those that can be granted now.
func (a *account) used(ratio, slack float64) float64 {
	room := a.room(ratio, slack)
	grants := prefixSums(&a.grants, a.newest)
	made := grants.between(a.newest-buckets-a.delay, a.newest)
	if made == 0 {
		return 0
	}
	return made / (made + max(room, 0))
}

// sums holds the sums of the first buckets of an account.
type sums struct {
	oldest int64 // number of the first bucket
	upTo   [history + 1]float64
}

func prefixSums(values *[history]float64, newest int64) sums {
	s := sums{oldest: newest - history + 1}
	for i := range int64(history) {
		// The oldest buckets of a young account have negative numbers and are empty.
		value := 0.0
		if bucket := s.oldest + i; bucket >= 0 {
			value = values[bucket%history]
		}
		s.upTo[i+1] = s.upTo[i] + value
	}
	return s
}

// between returns the sum of the buckets from first to last.
func (s *sums) between(first, last int64) float64 {
	from := min(max(first-s.oldest, 0), history)
	to := min(max(last-s.oldest+1, 0), history)
	return s.upTo[to] - s.upTo[from]
}

package fairshare

import (
	"math"
	"time"
)

const (
	// HalfLife is the half-life of used slot time. A shortage lasts some seconds; with a longer
	// half-life, customers would pay for what they used before it.
	HalfLife = 2 * time.Second
	// MaxCustomers bounds the customers counted; the one with the least use is dropped first.
	MaxCustomers = 1024
	// idleAfter is how long a customer neither asks nor is charged before it counts as idle.
	idleAfter = HalfLife
	// freeRequests is how many mean requests each customer may have used before they count. A small
	// customer's fair use is often less than one request, so that one grant would put it behind all
	// others for seconds, and requests arrive in batches. Replayed at 1.3 times the capacity of 56
	// slots (TestSurgeOfOneCustomerIsItsOwn, customer 3 surges), with 0, 1, 2 and 3 of them the eight
	// smallest of 16 customers are served 0.63, 0.70, 0.78 and 0.84, and the two largest 0.86, 0.84,
	// 0.81 and 0.79.
	freeRequests = 2
	// maxWeight is the highest weight that is a limit in tokens per second; what is above, in a message,
	// counts as no weight.
	maxWeight = 1e9
	// rebaseAfter is the age of the time base at which uses are scaled down. A use is stored
	// multiplied by 2^(age in half-lives), which overflows after 1,024 of them.
	rebaseAfter = 100 * HalfLife
)

// Claim says for whom slot time is used.
type Claim struct {
	// Customer is a key of the customer; 0 stands for all callers without one.
	Customer uint32
	// Weight is the customer's limit in tokens per second. A customer without a limit has weight 0
	// and counts with the mean weight of the others: limits are in thousands of tokens, so any fixed
	// weight would starve it or starve the others.
	Weight float64
}

// Usage holds the decayed slot time of each customer. The zero value is ready for use. It is not
// safe for concurrent use.
type Usage struct {
	customers map[uint32]*account
	// base is the time to which uses refer: see rebaseAfter.
	base time.Time
	// weighted counts the customers that have a weight, and weights is the sum of their weights.
	weighted int
	weights  float64
	// charges is the decayed number of charges, and charged their sum, like account.used.
	charges, charged float64
}

// account is the use of one customer.
type account struct {
	// used is the slot time in seconds, multiplied by Usage.growth at the time of each charge.
	used   float64
	weight float64
	// seen is when the customer last asked or was charged.
	seen time.Time
}

// Add charges slot time to a customer.
func (u *Usage) Add(c Claim, slotTime time.Duration, now time.Time) {
	if slotTime <= 0 {
		return
	}
	a := u.open(c, now)
	used := slotTime.Seconds() * u.growth(now)
	a.used += used
	u.charged += used
	u.charges += u.growth(now)
}

// Correct replaces a charge made at the given time that was an estimate: difference is the actual
// slot time less the estimate. A customer that has been dropped since is not corrected.
func (u *Usage) Correct(customer uint32, difference time.Duration, charged time.Time) {
	if a := u.customers[customer]; a != nil {
		a.used = max(a.used+difference.Seconds()*u.growth(charged), 0)
	}
}

// Level returns the customer's recent slot time, beyond that of freeRequests, divided by its weight;
// the lower level goes first. A customer that was idle has the use of the least active one for its
// weight: it gets no credit for the time in which it sent nothing. Asking for the level of a customer
// says that a request of it is waiting.
func (u *Usage) Level(c Claim, now time.Time) float64 {
	a := u.open(c, now)
	free := 0.0
	if u.charges > 0 {
		free = freeRequests * u.charged / u.charges * u.growth(now)
	}
	return max(a.used-free, 0) / u.weightOf(a) / u.growth(now)
}

// Used returns the customer's recent slot time and whether it is known.
func (u *Usage) Used(customer uint32, now time.Time) (time.Duration, bool) {
	a := u.customers[customer]
	if a == nil {
		return 0, false
	}
	return time.Duration(a.used / u.growth(now) * float64(time.Second)), true
}

// Len returns how many customers are counted.
func (u *Usage) Len() int { return len(u.customers) }

// open returns the account of a customer that asks or is charged now, and creates it if necessary.
func (u *Usage) open(c Claim, now time.Time) *account {
	u.rebase(now)
	a := u.customers[c.Customer]
	if a == nil {
		a = u.create(c.Customer)
	}
	u.setWeight(a, validWeight(c.Weight))
	if now.Sub(a.seen) > idleAfter {
		a.used = max(a.used, u.lowestActive(now)*u.weightOf(a))
	}
	if now.After(a.seen) {
		a.seen = now
	}
	return a
}

// create adds an account, in place of the one with the least use if there are MaxCustomers.
func (u *Usage) create(customer uint32) *account {
	if u.customers == nil {
		u.customers = make(map[uint32]*account)
	}
	if len(u.customers) >= MaxCustomers {
		u.dropLeast()
	}
	a := &account{}
	u.customers[customer] = a
	return a
}

// dropLeast drops the customer with the least use.
func (u *Usage) dropLeast() {
	var least uint32
	lowest := math.Inf(1)
	for customer, a := range u.customers {
		if a.used < lowest || a.used == lowest && customer < least {
			least, lowest = customer, a.used
		}
	}
	u.setWeight(u.customers[least], 0)
	delete(u.customers, least)
}

// lowestActive returns the lowest level, times growth, of the customers that are not idle; 0 if
// there are none.
func (u *Usage) lowestActive(now time.Time) float64 {
	lowest := math.Inf(1)
	for _, a := range u.customers {
		if now.Sub(a.seen) <= idleAfter {
			lowest = min(lowest, a.used/u.weightOf(a))
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// setWeight changes the weight of an account; 0 means that it has none.
func (u *Usage) setWeight(a *account, weight float64) {
	if a.weight > 0 {
		u.weighted--
		u.weights -= a.weight
	}
	if weight > 0 {
		u.weighted++
		u.weights += weight
	}
	a.weight = weight
	if u.weighted == 0 {
		u.weights = 0
	}
}

// weightOf returns the weight with which an account counts.
func (u *Usage) weightOf(a *account) float64 {
	switch {
	case a.weight > 0:
		return a.weight
	case u.weighted > 0:
		return max(u.weights/float64(u.weighted), 1)
	}
	return 1
}

// validWeight returns the weight of a claim, or 0 if the claim has none that can be used.
func validWeight(weight float64) float64 {
	if math.IsNaN(weight) || weight <= 0 || weight > maxWeight {
		return 0
	}
	return max(weight, 1)
}

// growth is the factor by which slot time used now is multiplied, so that all uses decay alike
// without being touched.
func (u *Usage) growth(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(u.base)) / float64(HalfLife))
}

// rebase moves the time base to now if it is too old.
func (u *Usage) rebase(now time.Time) {
	switch age := now.Sub(u.base); {
	case u.base.IsZero():
		u.base = now
	case age > rebaseAfter:
		factor := 1 / u.growth(now)
		for _, a := range u.customers {
			a.used *= factor
		}
		u.charges *= factor
		u.charged *= factor
		u.base = now
	}
}

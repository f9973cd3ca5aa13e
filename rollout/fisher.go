package rollout

import "math"

// contingencyTable is the 2x2 table of an interval: new and old answers, in total and bad.
type contingencyTable struct {
	newTotal, newBad uint64
	oldTotal, oldBad uint64
}

// logRatio returns the logarithm of the likelihood ratio of two hypotheses, given the total number of
// bad answers: that the new version's odds of a bad answer are factor times the old version's, and that
// they are nullOdds times (Fisher's noncentral hypergeometric distribution). A burst, a lost data
// centre or a fault that both versions share has no effect, because the total is given. The expected
// ratio is at most 1 if the true odds are at most nullOdds times the old version's. The product over
// intervals is therefore a test that can be evaluated at any time: it reaches 1/a with a probability of
// at most a (Ville 1939; Robbins 1970, Ann. Math. Statist. 41).
func (c contingencyTable) logRatio(factor, nullOdds float64) float64 {
	bad := c.newBad + c.oldBad
	if bad == 0 || c.newTotal == 0 || c.oldTotal == 0 {
		return 0
	}
	return c.logLikelihood(factor, bad) - c.logLikelihood(nullOdds, bad)
}

// logLikelihood returns the logarithm of the probability of the new version's number of bad answers.
func (c contingencyTable) logLikelihood(oddsRatio float64, bad uint64) float64 {
	lowest := uint64(0)
	if bad > c.oldTotal {
		lowest = bad - c.oldTotal
	}
	highest := min(bad, c.newTotal)
	term := func(x uint64) float64 {
		return logChoose(c.newTotal, x) + logChoose(c.oldTotal, bad-x) + float64(x)*math.Log(oddsRatio)
	}
	peak := math.Inf(-1)
	terms := make([]float64, 0, highest-lowest+1)
	for x := lowest; x <= highest; x++ {
		terms = append(terms, term(x))
		peak = max(peak, terms[len(terms)-1])
	}
	sum := 0.0
	for _, t := range terms {
		sum += math.Exp(t - peak)
	}
	return term(c.newBad) - peak - math.Log(sum)
}

// logChoose returns the logarithm of a binomial coefficient.
func logChoose(n, k uint64) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

// logFactorials is a table for small numbers: a verdict needs some hundred thousand of them.
var logFactorials = func() []float64 {
	table := make([]float64, 1<<12)
	for n := 1; n < len(table); n++ {
		table[n] = table[n-1] + math.Log(float64(n))
	}
	return table
}()

func logFactorial(n uint64) float64 {
	if n < uint64(len(logFactorials)) {
		return logFactorials[n]
	}
	value, _ := math.Lgamma(float64(n) + 1)
	return value
}

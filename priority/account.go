package priority

import "math"

// maxAccounts is the number of accounts of a class that are told apart; those with the least
// demand are forgotten first.
const maxAccounts = 128

// classUsage is what one class was offered and admitted, and what was decided for its accounts.
type classUsage struct {
	window   window
	accounts map[string]*window
}

// add adds to the counts of the class, and to those of the account if it is known and a request of
// it was decided.
func (c *classUsage) add(account string, n counts, slot int64) {
	c.window.add(n, slot)
	if account == "" || n.decided == 0 {
		return
	}
	w := c.accounts[account]
	if w == nil {
		if c.accounts == nil {
			c.accounts = make(map[string]*window)
		}
		if len(c.accounts) >= maxAccounts {
			c.forgetSmallest(slot)
		}
		w = &window{}
		c.accounts[account] = w
	}
	w.add(n, slot)
}

// account returns the counts of an account.
func (c *classUsage) account(name string, slot int64) counts {
	w := c.accounts[name]
	if w == nil {
		return counts{}
	}
	w.advance(slot)

	return w.sum
}

// forgetSmallest removes the account with the least demand.
func (c *classUsage) forgetSmallest(slot int64) {
	var smallest string
	var least int64
	for name, w := range c.accounts {
		w.advance(slot)
		demand := w.sum.decidedTokens
		if smallest == "" || demand < least || (demand == least && name < smallest) {
			smallest, least = name, demand
		}
	}
	delete(c.accounts, smallest)
}

// contended reports whether the accounts of the class compete for room. The window must have been
// advanced.
func (c *classUsage) contended() bool {
	return float64(c.window.sum.admittedTokens) < contendedShare*float64(c.window.sum.decidedTokens)
}

// exceedsFairShare reports whether an account of a contended class asks for much more than the
// others and has had more than its max-min fair share of what was admitted, both beyond chance. The
// shares are among the accounts that are known.
//
// Load pattern: one account sends a burst of requests. The others of its class, which send what they
// always do, should not be refused for it.
func (c *classUsage) exceedsFairShare(name string, slot int64) bool {
	own := c.account(name, slot)
	var all counts
	var others float64
	for _, w := range c.accounts {
		w.advance(slot)
		all.add(w.sum)
		if w.sum.decided > 0 {
			others++
		}
	}
	others--
	if others <= 0 || beyondChance(own.decidedTokens, own.decided)*others <= largeDemand*float64(all.decidedTokens-own.decidedTokens) {
		return false
	}
	// The max-min fair share is the level L at which the sum of min(demand, L) over all accounts is what
	// was admitted. An account exceeds it if the sum at its own level is greater.
	level, sum := beyondChance(own.admittedTokens, own.admitted), 0.0
	for _, w := range c.accounts {
		sum += min(float64(w.sum.decidedTokens), level)
	}

	return sum > float64(all.admittedTokens)
}

// beyondChance returns how many of the tokens of n requests are not explained by chance.
func beyondChance(tokens, n int64) float64 {
	if n == 0 {
		return 0
	}

	return float64(tokens) * max(0, 1-chanceDeviations/math.Sqrt(float64(n)))
}

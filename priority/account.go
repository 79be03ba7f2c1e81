package priority

// maxAccounts is the number of accounts of a class that are told apart; those that offer least are
// forgotten first.
const maxAccounts = 128

// classUsage is what one class, and each of its accounts, was offered and admitted.
type classUsage struct {
	window   window
	accounts map[string]*window
}

// add adds to the counts of the class and of the account, unless that is empty.
func (c *classUsage) add(account string, n counts, slot int64) {
	c.window.add(n, slot)
	if account == "" {
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

// forgetSmallest removes the account that offers least.
func (c *classUsage) forgetSmallest(slot int64) {
	var smallest string
	var least int64
	for name, w := range c.accounts {
		w.advance(slot)
		offered := w.sum.offeredTokens
		if smallest == "" || offered < least || (offered == least && name < smallest) {
			smallest, least = name, offered
		}
	}
	delete(c.accounts, smallest)
}

// contended reports whether the accounts of the class compete for room. The window must have been
// advanced.
func (c *classUsage) contended() bool {
	return float64(c.window.sum.admittedTokens) < contendedShare*float64(c.window.sum.offeredTokens)
}

// exceedsFairShare reports whether an account of a contended class offers much more than the others
// and has had more than its max-min fair share of what was admitted. The window must have been
// advanced.
//
// Load pattern: one account sends a burst of requests. The others of its class, which send what they
// always do, should not be refused for it.
func (c *classUsage) exceedsFairShare(name string, slot int64) bool {
	all, own := c.window.sum, c.account(name, slot)
	if own.offered == 0 {
		return false
	}
	// The fair share is the level at which the smaller of it and the demand, summed over all
	// accounts, is what was admitted. The account is above it if the sum at its own level is more.
	var others, sum int64
	for _, w := range c.accounts {
		w.advance(slot)
		sum += min(w.sum.offeredTokens, own.admittedTokens)
		if w.sum.offered > 0 {
			others++
		}
	}
	others--
	isLarge := own.offeredTokens*others > largeDemand*(all.offeredTokens-own.offeredTokens)

	return others > 0 && isLarge && sum > all.admittedTokens
}

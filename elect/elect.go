// Package elect elects the box that issues orders to servers, by conditional appends to a topic of
// the store. Terms need no renewal: a box stays elected until another one takes over. Servers check
// the fencing token of the term, which distinguishes stale orders from current ones.
package elect

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/logstore"
)

// Term is the result of one election.
type Term struct {
	// Token is the fencing token. It rises with each election; zero means that no term is known.
	Token int64             `json:"token"`
	Box   slatebridge.BoxID `json:"box"`
	// Boot distinguishes the processes of one box.
	Boot string `json:"boot"`
}

// Newer reports whether t was won after o.
func (t Term) Newer(o Term) bool {
	return t.Token > o.Token
}

// Current returns the newest term in the store and the end of the topic.
func Current(ctx context.Context, topic logstore.ConditionalTopic) (Term, logstore.Position, error) {
	end, data, err := topic.End(ctx)
	if err != nil || len(data) == 0 {
		return Term{}, end, err
	}

	return decodeTerm(data, end), end, nil
}

// decodeTerm returns the term in the last record of a topic that ends at the given position. A
// record that can't be parsed, or has an invalid token, comes from another writer and counts as no
// term, since otherwise no box could ever win against it. The next term still gets a higher token
// than all before it: tokens are positions in the store, which rise even if the store is restored
// from an older copy (see logstore.Position).
func decodeTerm(data []byte, end logstore.Position) Term {
	var t Term
	if err := json.Unmarshal(data, &t); err != nil || t.Token <= 0 || t.Token > int64(end) || t.Box == "" {
		return Term{}
	}

	return t
}

// Campaign tries to win the next term for the box. known is the term to replace; if the store has a
// newer one, Campaign returns that one instead. If the append fails, for example because of a
// conflict or a lost response, Campaign reads the store again and returns the term found there.
func Campaign(ctx context.Context, topic logstore.ConditionalTopic, known Term, box slatebridge.BoxID, boot string) (Term, error) {
	current, end, err := Current(ctx, topic)
	if err != nil || current.Newer(known) {
		return current, err
	}
	next := Term{Token: int64(end.Advance(1)), Box: box, Boot: boot}
	data, err := json.Marshal(next)
	if err != nil {
		return current, errors.Wrap(err, "elect: encode term")
	}
	if err := topic.AppendIfEnd(ctx, end, data); err == nil {
		return next, nil
	}
	// The append may have succeeded despite the error.
	current, _, err = Current(ctx, topic)

	return current, err
}

// Delays before a box campaigns.
const (
	// baseDelay is the minimum wait without a leader. After a start it lets boxes discover each
	// other.
	baseDelay = 800 * time.Millisecond
	// rankDelay is the additional wait per rank, so that usually only one box campaigns.
	rankDelay = 400 * time.Millisecond
)

// CampaignDelay returns how long a box waits without a leader before it campaigns. rank is the
// number of boxes that should campaign before this one.
func CampaignDelay(rank int) time.Duration {
	return baseDelay + time.Duration(rank)*rankDelay
}

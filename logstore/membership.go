package logstore

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge"
	"github.com/slatebridge/slatebridge/internal/jsonscan"
)

// Membership is one reading of the platform's membership list, which lags behind and may be wrong.
type Membership struct {
	Boxes   []slatebridge.Box           `json:"boxes"`
	Servers []slatebridge.BackendServer `json:"servers"`
	// Refused has the errors of the entries that could not be decoded. Other writers may leave such
	// entries, and they affect no other.
	Refused []error `json:"-"`
}

// UnmarshalJSON decodes a membership, each entry by itself.
func (m *Membership) UnmarshalJSON(data []byte) error { return m.decode(data) }

// decode decodes a membership. It bears entries that encoding/json does not, such as very deeply nested
// ones.
func (m *Membership) decode(data []byte) error {
	s := jsonscan.New(data)
	err := s.EachField(func(name []byte) error {
		switch string(name) {
		case "boxes":
			return decodeEntries(&s, &m.Boxes, &m.Refused)
		case "servers":
			return decodeEntries(&s, &m.Servers, &m.Refused)
		default:
			_, err := s.Value()

			return err
		}
	})

	return errors.Wrap(errors.CombineErrors(err, s.ExpectEnd()), "logstore: membership")
}

// decodeEntries appends the elements of an array, and the errors of those that cannot be decoded. null
// stands for an empty array.
func decodeEntries[T any](s *jsonscan.Scanner, out *[]T, refused *[]error) error {
	if s.Peek() == 'n' {
		_, err := s.Value()

		return err
	}

	return s.EachElement(func() error {
		data, err := s.Value()
		if err != nil {
			return err
		}
		var v T
		if err := json.Unmarshal(data, &v); err != nil {
			*refused = append(*refused, errors.Wrapf(err, "entry %.100s", data))

			return nil
		}
		*out = append(*out, v)

		return nil
	})
}

// MembershipClient reads the platform's list of live and leaving boxes and backend servers.
type MembershipClient struct {
	// Get returns the platform's current list.
	Get func(ctx context.Context) (Membership, error)
}

// NewMembershipClient returns a client of the membership service at the base URL.
func NewMembershipClient(base string, client *http.Client) MembershipClient {
	get := func(ctx context.Context) (Membership, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/members", http.NoBody)
		if err != nil {
			return Membership{}, errors.Wrap(err, "logstore: membership")
		}
		var m Membership
		data, err := call(client, req)
		if err == nil {
			err = m.decode(data)
		}

		return m, err
	}

	return MembershipClient{Get: get}
}

package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slatebridge/slatebridge/claim"
	"github.com/slatebridge/slatebridge/peer"
)

// Timing of claim queries between gateways.
const (
	// claimWaitTimeout is how long a gateway waits for the response to its own call
	// before it reports the call as running.
	claimWaitTimeout = 2 * time.Second
	// claimQueryTimeout is the deadline of a claim query. It leaves the queried
	// gateway a second more than claimWaitTimeout to reply.
	claimQueryTimeout = claimWaitTimeout + time.Second
)

// claimStateToProto maps claim states to their values in the peer protocol.
var claimStateToProto = map[claim.State]peer.ClaimFate{
	claim.Unknown:         peer.ClaimFate_CLAIM_FATE_UNKNOWN,
	claim.Running:         peer.ClaimFate_CLAIM_FATE_RUNNING,
	claim.Abandoned:       peer.ClaimFate_CLAIM_FATE_GIVEN_UP,
	claim.MayHaveRun:      peer.ClaimFate_CLAIM_FATE_MAY_HAVE_RUN,
	claim.Completed:       peer.ClaimFate_CLAIM_FATE_ANSWERED,
	claim.ResponseEvicted: peer.ClaimFate_CLAIM_FATE_DROPPED,
}

// peerService implements the gateway service of the peer protocol.
type peerService struct {
	g *Gateway
}

// Claim returns the state of a claim made by this gateway, and the response if there is one.
func (p peerService) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimReply, error) {
	id, err := claim.ParseID(req.ClaimId)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimWaitTimeout)
	defer cancel()
	state, response := p.g.claimer.ClaimState(ctx, id)

	return &peer.ClaimReply{
		Fate:        claimStateToProto[state],
		Status:      int32(response.Status),
		ContentType: response.ContentType,
		Body:        response.Body,
	}, nil
}

// queryClaimOwner requests the state of a claim from the box that made it.
func (g *Gateway) queryClaimOwner(ctx context.Context, id claim.ID) (claim.State, claim.Response, error) {
	box, ok := g.snapshot.Load().Box(id.Box)
	if !ok {
		return claim.Unknown, claim.Response{}, errors.Newf("gateway: box %s is not in the routing snapshot", id.Box)
	}
	ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
	defer cancel()
	reply, err := peer.NewGatewayProtobufClient(box.GatewayPeerURL, g.httpClient).Claim(ctx, &peer.ClaimRequest{ClaimId: id.String()})
	if err != nil {
		return claim.Unknown, claim.Response{}, err
	}

	return claimStateFromProto(reply.Fate), claim.Response{
		Status:      int(reply.Status),
		ContentType: reply.ContentType,
		Body:        reply.Body,
	}, nil
}

// claimStateFromProto returns the claim state for a value of the peer protocol.
func claimStateFromProto(fate peer.ClaimFate) claim.State {
	for state, f := range claimStateToProto {
		if f == fate {
			return state
		}
	}

	return claim.Unknown
}

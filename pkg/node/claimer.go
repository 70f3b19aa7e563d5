package node

import (
	"context"
	"fmt"
	"net/http"

	"agatepulley.example/agatepulley/core/outcome"
	"agatepulley.example/agatepulley/pkg/claims"
	"agatepulley.example/agatepulley/pkg/clock"
	"agatepulley.example/agatepulley/pkg/owner"
	"agatepulley.example/agatepulley/pkg/telemetry"
)

const stepClaim = "claim"

// claimer lets the owner claim keys with the claim service.
type claimer struct {
	service *claims.Service
	clock   clock.Clock
	metrics *telemetry.Metrics
}

// Claim implements owner.Claimer.
func (c *claimer) Claim(ctx context.Context, service, key, attempt string) (owner.Claim, *outcome.Error) {
	request := claims.Request{Service: service, Key: key, Attempt: attempt}
	verdict := c.service.Claim(ctx, request)
	if verdict.Granted {
		return &claim{claimer: c, request: request, verdict: verdict}, nil
	}
	if verdict.Reason != outcome.ReasonClaimed {
		return nil, outcome.Refuse(http.StatusServiceUnavailable, verdict.Reason, stepClaim, "", nil)
	}
	c.metrics.DuplicateStopped(service)
	failure := outcome.Refuse(http.StatusConflict, outcome.ReasonClaimed, stepClaim, "", nil)
	failure.Outcome = outcome.Duplicate
	failure.Recorded = recorded(verdict)
	return nil, failure
}

// recorded describes the attempt that holds the key.
func recorded(verdict claims.Verdict) string {
	if verdict.State == claims.StateCompleted && verdict.Status > 0 {
		return fmt.Sprintf("%s %d", verdict.State, verdict.Status)
	}
	return string(verdict.State)
}

// claim is a granted claim.
type claim struct {
	claimer *claimer
	request claims.Request
	verdict claims.Verdict
}

// Valid implements owner.Claim.
func (c *claim) Valid() bool {
	return c.verdict.Valid(c.claimer.clock.Now())
}

// Release implements owner.Claim.
func (c *claim) Release() {
	c.claimer.service.Release(c.request)
}

// Complete implements owner.Claim.
func (c *claim) Complete(status int) {
	c.claimer.service.Complete(c.request, status)
}

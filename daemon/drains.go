package daemon

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/contract/contractfile"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/target"
	"github.com/crocushinge/crocushinge/wire"
)

// errNotDrained is returned when there is no drain to remove.
var errNotDrained = errors.New("no drain of this target is in force; one that is not kept is undone at the host that took it")

// Drain stops new requests to a target. It takes effect at once on this host and on
// the service's entry set, even when the metadata store is unavailable. The state
// of the returned drain tells whether the metadata store keeps it.
func (d *Daemon) Drain(ctx context.Context, ev host.OperatorDrain) (wire.Drain, error) {
	if err := d.control.sendAndWait(ctx, ev); err != nil {
		return wire.Drain{}, err
	}
	drain := contract.Drain{Service: ev.Target.Service, Target: ev.Target.Name, Reason: ev.Reason}
	status := wire.Drain{Target: ev.Target.String(), Operator: ev.Operator, Reason: ev.Reason, At: time.Now()}
	document, err := contractfile.EncodeDrain(drain)
	if err != nil {
		return wire.Drain{}, err
	}
	current, err := d.lastDrainChange(ctx, ev.Target)
	if err != nil {
		return wire.Drain{}, err
	}
	if current.Drain != nil {
		return drainFromChange(current), nil
	}
	status, err = d.proposeDrain(ctx, status, current.Version, document)
	if err == nil && status.State == wire.DrainRejected {
		err = d.control.sendAndWait(ctx, host.OperatorUndrain{Target: ev.Target, Operator: ev.Operator})
	}
	return status, err
}

// Undrain removes a drain on all hosts.
func (d *Daemon) Undrain(ctx context.Context, ev host.OperatorUndrain) (wire.Drain, error) {
	status := wire.Drain{Target: ev.Target.String(), Operator: ev.Operator, At: time.Now()}
	current, err := d.lastDrainChange(ctx, ev.Target)
	if err != nil {
		return wire.Drain{}, err
	}
	if current.Drain != nil {
		return d.proposeDrain(ctx, status, current.Version, nil)
	}
	local, err := d.localDrains(ctx)
	if err != nil {
		return wire.Drain{}, err
	}
	if !slices.ContainsFunc(local, func(l host.OperatorDrain) bool { return l.Target == ev.Target }) {
		return wire.Drain{}, errNotDrained
	}
	status.State = wire.DrainStored
	return status, d.control.sendAndWait(ctx, ev)
}

// proposeDrain publishes a drain, or its removal when the document is nil. The
// parameter base is the version that the change replaces. The returned drain has
// its state set.
func (d *Daemon) proposeDrain(ctx context.Context, status wire.Drain, base uint64, document []byte) (wire.Drain, error) {
	key, _ := target.ParseKey(status.Target)
	status.Proposal = uuid.NewString()
	result, err := d.Propose(ctx, publish.Proposal{
		ID: status.Proposal, Operator: status.Operator, Base: base, Document: document,
		Subject: contract.DrainSubject(key.Service, key.Name),
	})
	switch {
	case err != nil:
		status.State, status.Error = wire.DrainNotStored, err.Error()
	case result.Status == publish.Accepted:
		status.State, status.Revision = wire.DrainStored, result.Revision
	case result.Status == publish.Rejected && result.Conflict != nil:
		status.State = wire.DrainRejected
		status.Error = "changed by " + result.Conflict.Operator + " in revision " + strconv.FormatUint(result.Conflict.Revision, 10)
	case result.Status == publish.Rejected:
		status.State, status.Error = wire.DrainRejected, result.Findings.Error()
	default:
		status.State, status.Error = wire.DrainUnknown, "the table did not answer whether it keeps the change"
	}
	return status, nil
}

// lastDrainChange returns the newest change to a target's drain, or an empty change
// when the target was never drained.
func (d *Daemon) lastDrainChange(ctx context.Context, key target.Key) (contract.Change, error) {
	view, err := d.inForce(ctx)
	change, _ := view.Change(contract.DrainSubject(key.Service, key.Name))
	return change, err
}

// localDrains returns the drains that this host knows of but that the metadata
// store doesn't keep.
func (d *Daemon) localDrains(ctx context.Context) ([]host.OperatorDrain, error) {
	var out []host.OperatorDrain
	err := d.control.Call(ctx, func(core *host.Core) { out = core.LocalDrains() })
	return out, err
}

// Drains lists the drains in force, followed by those that this host applies but
// that the metadata store doesn't keep.
func (d *Daemon) Drains(ctx context.Context) (wire.Drains, error) {
	view, err := d.inForce(ctx)
	if err != nil {
		return wire.Drains{}, err
	}
	out := wire.Drains{Drains: []wire.Drain{}}
	for _, change := range view.Changes {
		if change.Drain != nil {
			out.Drains = append(out.Drains, drainFromChange(change))
		}
	}
	local, err := d.localDrains(ctx)
	for _, l := range local {
		out.Drains = append(out.Drains, wire.Drain{
			Target: l.Target.String(), Operator: l.Operator, Reason: l.Reason, At: l.At, State: wire.DrainNotStored,
		})
	}
	return out, err
}

func drainFromChange(change contract.Change) wire.Drain {
	key := target.Key{Service: change.Drain.Service, Name: change.Drain.Target}
	return wire.Drain{
		Target: key.String(), Operator: change.Operator, Reason: change.Drain.Reason, At: change.At,
		State: wire.DrainStored, Revision: change.Revision, Proposal: change.Proposal,
	}
}

func (d *Daemon) getDrains(ctx iris.Context) {
	drains, err := d.Drains(ctx.Request().Context())
	if err != nil {
		respondError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	respondJSON(ctx, drains)
}

func (d *Daemon) postDrain(ctx iris.Context) {
	key := targetParam(ctx)
	if !d.hasTarget(key) {
		respondError(ctx, http.StatusNotFound, errors.Errorf("no contract in force declares target %s", key))
		return
	}
	writeCtx, cancel := writeContext(ctx)
	defer cancel()
	d.respondDrain(ctx)(d.Drain(writeCtx, host.OperatorDrain{
		Target: key, Operator: operatorName(ctx), Reason: ctx.URLParam("reason"), At: time.Now(),
	}))
}

func (d *Daemon) deleteDrain(ctx iris.Context) {
	writeCtx, cancel := writeContext(ctx)
	defer cancel()
	d.respondDrain(ctx)(d.Undrain(writeCtx, host.OperatorUndrain{Target: targetParam(ctx), Operator: operatorName(ctx)}))
}

func targetParam(ctx iris.Context) target.Key {
	return target.Key{Service: ctx.Params().Get("service"), Name: ctx.Params().Get("target")}
}

func (d *Daemon) respondDrain(ctx iris.Context) func(wire.Drain, error) {
	return func(drain wire.Drain, err error) {
		switch {
		case errors.Is(err, errNotDrained):
			respondError(ctx, http.StatusNotFound, err)
		case err != nil:
			respondError(ctx, http.StatusServiceUnavailable, err)
		default:
			respondJSON(ctx, drain)
		}
	}
}

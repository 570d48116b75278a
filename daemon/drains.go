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

// errNotDrained is returned when there is no drain to undo.
var errNotDrained = errors.New("no drain of this target is in force; one that is not kept is undone at the host that took it")

// Drain gives a target no more work. It holds at once on this host and on the
// entry set; the answer tells whether the table keeps it.
func (d *Daemon) Drain(ctx context.Context, ev host.OperatorDrain) (wire.Drain, error) {
	if err := d.control.deliver(ctx, ev); err != nil {
		return wire.Drain{}, err
	}
	drain := contract.Drain{Service: ev.Target.Service, Target: ev.Target.Name, Reason: ev.Reason}
	answer := wire.Drain{Target: ev.Target.String(), Operator: ev.Operator, Reason: ev.Reason, At: time.Now()}
	document, err := contractfile.EncodeDrain(drain)
	if err != nil {
		return wire.Drain{}, err
	}
	now, err := d.drainOf(ctx, ev.Target)
	if err != nil {
		return wire.Drain{}, err
	}
	if now.Drain != nil {
		return drainInForce(now), nil
	}
	answer, err = d.proposeDrain(ctx, answer, now.Version, document)
	if err == nil && answer.State == wire.DrainRejected {
		err = d.control.deliver(ctx, host.OperatorUndrain{Target: ev.Target, Operator: ev.Operator})
	}
	return answer, err
}

// Undrain takes a drain back on all hosts.
func (d *Daemon) Undrain(ctx context.Context, ev host.OperatorUndrain) (wire.Drain, error) {
	answer := wire.Drain{Target: ev.Target.String(), Operator: ev.Operator, At: time.Now()}
	now, err := d.drainOf(ctx, ev.Target)
	if err != nil {
		return wire.Drain{}, err
	}
	if now.Drain != nil {
		return d.proposeDrain(ctx, answer, now.Version, nil)
	}
	unkept, err := d.unkeptDrains(ctx)
	if err != nil {
		return wire.Drain{}, err
	}
	if !slices.ContainsFunc(unkept, func(u host.OperatorDrain) bool { return u.Target == ev.Target }) {
		return wire.Drain{}, errNotDrained
	}
	answer.State = wire.DrainKept
	return answer, d.control.deliver(ctx, ev)
}

// proposeDrain hands a drain, or its removal, to the table.
func (d *Daemon) proposeDrain(ctx context.Context, answer wire.Drain, base uint64, document []byte) (wire.Drain, error) {
	key, _ := target.ParseKey(answer.Target)
	answer.Proposal = uuid.NewString()
	result, err := d.Propose(ctx, publish.Proposal{
		ID: answer.Proposal, Operator: answer.Operator, Base: base, Document: document,
		Subject: contract.DrainSubject(key.Service, key.Name),
	})
	switch {
	case err != nil:
		answer.State, answer.Error = wire.DrainUnkept, err.Error()
	case result.Status == publish.Accepted:
		answer.State, answer.Revision = wire.DrainKept, result.Revision
	case result.Status == publish.Rejected && result.Conflict != nil:
		answer.State = wire.DrainRejected
		answer.Error = "changed by " + result.Conflict.Operator + " in revision " + strconv.FormatUint(result.Conflict.Revision, 10)
	case result.Status == publish.Rejected:
		answer.State, answer.Error = wire.DrainRejected, result.Findings.Error()
	default:
		answer.State, answer.Error = wire.DrainUnknown, "the table did not answer whether it keeps the change"
	}
	return answer, nil
}

// drainOf returns the newest change of a target's drain; it is empty when there
// was none.
func (d *Daemon) drainOf(ctx context.Context, key target.Key) (contract.Change, error) {
	view, err := d.inForce(ctx)
	ch, _ := view.Change(contract.DrainSubject(key.Service, key.Name))
	return ch, err
}

func (d *Daemon) unkeptDrains(ctx context.Context) ([]host.OperatorDrain, error) {
	var out []host.OperatorDrain
	err := d.control.Call(ctx, func(core *host.Core) { out = core.LocalDrains() })
	return out, err
}

// Drains lists the drains in force, and those that only this host holds.
func (d *Daemon) Drains(ctx context.Context) (wire.Drains, error) {
	view, err := d.inForce(ctx)
	if err != nil {
		return wire.Drains{}, err
	}
	out := wire.Drains{Drains: []wire.Drain{}}
	for _, ch := range view.Changes {
		if ch.Drain != nil {
			out.Drains = append(out.Drains, drainInForce(ch))
		}
	}
	unkept, err := d.unkeptDrains(ctx)
	for _, u := range unkept {
		out.Drains = append(out.Drains, wire.Drain{
			Target: u.Target.String(), Operator: u.Operator, Reason: u.Reason, At: u.At, State: wire.DrainUnkept,
		})
	}
	return out, err
}

func drainInForce(ch contract.Change) wire.Drain {
	key := target.Key{Service: ch.Drain.Service, Name: ch.Drain.Target}
	return wire.Drain{
		Target: key.String(), Operator: ch.Operator, Reason: ch.Drain.Reason, At: ch.At,
		State: wire.DrainKept, Revision: ch.Revision, Proposal: ch.Proposal,
	}
}

func (d *Daemon) getDrains(ctx iris.Context) {
	drains, err := d.Drains(ctx.Request().Context())
	if err != nil {
		fail(ctx, http.StatusServiceUnavailable, err)
		return
	}
	reply(ctx, drains)
}

func (d *Daemon) postDrain(ctx iris.Context) {
	key := drainKey(ctx)
	if !d.declares(key) {
		fail(ctx, http.StatusNotFound, errors.Errorf("no contract in force declares target %s", key))
		return
	}
	bound, cancel := changeContext(ctx)
	defer cancel()
	d.replyDrain(ctx)(d.Drain(bound, host.OperatorDrain{
		Target: key, Operator: operatorOf(ctx), Reason: ctx.URLParam("reason"), At: time.Now(),
	}))
}

func (d *Daemon) deleteDrain(ctx iris.Context) {
	bound, cancel := changeContext(ctx)
	defer cancel()
	d.replyDrain(ctx)(d.Undrain(bound, host.OperatorUndrain{Target: drainKey(ctx), Operator: operatorOf(ctx)}))
}

func drainKey(ctx iris.Context) target.Key {
	return target.Key{Service: ctx.Params().Get("service"), Name: ctx.Params().Get("target")}
}

func (d *Daemon) replyDrain(ctx iris.Context) func(wire.Drain, error) {
	return func(answer wire.Drain, err error) {
		switch {
		case errors.Is(err, errNotDrained):
			fail(ctx, http.StatusNotFound, err)
		case err != nil:
			fail(ctx, http.StatusServiceUnavailable, err)
		default:
			reply(ctx, answer)
		}
	}
}

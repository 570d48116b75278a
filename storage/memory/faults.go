package memory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// beforeRead applies the faults that are switched on to a read.
func (p *Platform) beforeRead(ctx context.Context) error {
	action, err := p.Faults.Next(ctx, fault.Read)
	switch {
	case err != nil:
		return errors.Wrapf(storage.ErrUnavailable, "read: %v", err)
	case action != fault.Pass:
		return errors.Wrapf(storage.ErrUnavailable, "read: %s", action)
	default:
		return nil
	}
}

// writeWithFaults applies the faults that are switched on to a write, which apply
// carries out. A write whose context ends during the delay is ambiguous to its
// caller, as it would be over a network.
func (p *Platform) writeWithFaults(ctx context.Context, apply func() error) error {
	action, err := p.Faults.Next(ctx, fault.Write)
	if err != nil {
		return errors.Wrapf(storage.ErrAmbiguous, "write: %v", err)
	}
	switch action {
	case fault.Fail, fault.Throttle:
		return errors.Wrapf(storage.ErrUnavailable, "write: %s", action)
	case fault.LoseWrite:
		return errors.Wrap(storage.ErrAmbiguous, "write: response lost")
	case fault.LoseResponse:
		// The caller must learn neither of success nor of a failed condition.
		_ = apply()
		return errors.Wrap(storage.ErrAmbiguous, "write: response lost")
	default:
		return apply()
	}
}

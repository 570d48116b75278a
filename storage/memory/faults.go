package memory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// beforeRead fails with ErrUnavailable if a fault that is switched on affects a read.
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

// writeWithFaults calls apply to carry out a write, subject to the faults that are
// switched on. If the context ends during the delay, it fails with ErrAmbiguous, as a
// write over a network would.
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
		// The result of apply is hidden, because its response is lost.
		_ = apply()
		return errors.Wrap(storage.ErrAmbiguous, "write: response lost")
	default:
		return apply()
	}
}

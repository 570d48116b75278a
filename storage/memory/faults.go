package memory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/fault"
)

// read meets the faults of a read.
func (p *Platform) read(ctx context.Context) error {
	verdict, err := p.Faults.Next(ctx, fault.Read)
	switch {
	case err != nil:
		return errors.Wrapf(storage.ErrUnavailable, "read: %v", err)
	case verdict != fault.Pass:
		return errors.Wrapf(storage.ErrUnavailable, "read: %s", verdict)
	default:
		return nil
	}
}

// write meets the faults of a write that apply carries out. A write that is
// given up while it waits is ambiguous to its caller, as on a network.
func (p *Platform) write(ctx context.Context, apply func() error) error {
	verdict, err := p.Faults.Next(ctx, fault.Write)
	if err != nil {
		return errors.Wrapf(storage.ErrAmbiguous, "write: %v", err)
	}
	switch verdict {
	case fault.Fail, fault.Throttle:
		return errors.Wrapf(storage.ErrUnavailable, "write: %s", verdict)
	case fault.LoseWrite:
		return errors.Wrap(storage.ErrAmbiguous, "write: answer lost")
	case fault.LoseAnswer:
		// The client learns neither of success nor of a failed condition.
		_ = apply()
		return errors.Wrap(storage.ErrAmbiguous, "write: answer lost")
	default:
		return apply()
	}
}

// Package guard keeps an unexpected error in one request or one duty from ending the process.
//
// A panic while a request is served becomes an error of that request. A duty that panics is started again after a pause.
// Each panic is logged with its stack and counted.
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"agatepulley.example/agatepulley/pkg/clock"
)

const (
	// restartPause keeps a duty that panics at once from using up the processor.
	restartPause = 100 * time.Millisecond
	// maxStackBytes bounds the stack in an error, which goes into a log line.
	maxStackBytes = 2 << 10
)

var panics atomic.Uint64

// Panics returns the number of panics of this process that were recovered.
func Panics() uint64 {
	return panics.Load()
}

// PanicError is a recovered panic.
type PanicError struct {
	Value any
	Stack string
}

// Error implements the error interface.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack)
}

// Recovered counts a panic and returns it as an error. It is called with the result of recover, which must not be nil.
func Recovered(value any) error {
	panics.Add(1)
	stack := debug.Stack()
	return &PanicError{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// Call runs f and returns its panic as an error.
func Call(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = Recovered(value)
		}
	}()
	f()
	return nil
}

// Supervise runs f, and runs it again whenever it panics, until it returns or the context ends.
func Supervise(ctx context.Context, logger *slog.Logger, name string, f func()) {
	for {
		err := Call(f)
		if err == nil {
			return
		}
		logger.Error("duty restarts after a panic", "duty", name, "error", err)
		clock.Sleep(ctx, restartPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// Package guard keeps a panic in one request or one background task from ending the process.
//
// A panic while a request is served becomes an error of that request. A background task that panics is restarted after a
// pause. Each panic is logged with its stack and counted.
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
	// restartPause is the wait before a task is restarted. It keeps one that panics at once from using up the CPU.
	restartPause = 100 * time.Millisecond
	// maxStackBytes is the maximum length of the stack trace in an error, which becomes part of a log line.
	maxStackBytes = 2 << 10
)

var panics atomic.Uint64

// Panics returns the number of panics of this process that were recovered.
func Panics() uint64 {
	return panics.Load()
}

// PanicError is a recovered panic with its stack trace, which may be truncated.
type PanicError struct {
	Value any
	Stack string
}

// Error implements the error interface.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack)
}

// Recovered counts a panic and returns it as a *PanicError. value is the result of recover and must not be nil.
func Recovered(value any) error {
	panics.Add(1)
	stack := debug.Stack()
	return &PanicError{Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// Call runs f. If f panics, it returns the panic as a *PanicError.
func Call(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = Recovered(value)
		}
	}()
	f()
	return nil
}

// Supervise runs f, and restarts it after a pause whenever it panics, until f returns or the context ends. The name
// identifies the task in the log.
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

package kernel

import (
	"context"
	"fmt"
	"sync"
)

// AwaitTasks waits until all tasks of a group have ended or the context is done. If the context ends first, it returns an
// error that contains the name.
func AwaitTasks(ctx context.Context, tasks *sync.WaitGroup, name string) error {
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	return AwaitClosed(ctx, done, name)
}

// AwaitClosed waits until a channel is closed or the context is done. If the context ends first, it returns an error that
// contains the name.
func AwaitClosed(ctx context.Context, done <-chan struct{}, name string) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for %s: %w", name, ctx.Err())
	}
}

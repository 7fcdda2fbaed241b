// Package panics keeps a panic in one task from ending the process and everything else that it serves.
//
// It belongs at the top of goroutines that process input from other processes. It holds no state.
package panics

import (
	"runtime/debug"

	"k8s.io/klog/v2"
)

// Recover is to be deferred by a task. After a panic it logs the task, the cause and the stack, and calls onPanic,
// which may be nil.
func Recover(task string, onPanic func()) {
	cause := recover()
	if cause == nil {
		return
	}
	klog.ErrorS(nil, "Task panicked", "task", task, "cause", cause, "stack", string(debug.Stack()))
	if onPanic != nil {
		onPanic()
	}
}

// Package panics keeps an unexpected error of one task from ending the process and everything else that it serves.
//
// It belongs at the top of goroutines that handle what other processes sent. It holds no state and decides nothing.
package panics

import (
	"runtime/debug"

	"k8s.io/klog/v2"
)

// Recover is deferred by a task. After a panic it logs the task, the cause and the stack, and calls then, which may be nil.
func Recover(task string, then func()) {
	cause := recover()
	if cause == nil {
		return
	}
	klog.ErrorS(nil, "Task panicked", "task", task, "cause", cause, "stack", string(debug.Stack()))
	if then != nil {
		then()
	}
}

package spawner

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// maxStack bounds the stack that is logged of a panic, in bytes.
const maxStack = 2 << 10

// Recover turns a panic of the function that defers it into an error and logs where it happened, so that one message costs no more than its own request.
func Recover(what string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	klog.ErrorS(nil, "panic: recovered", "in", what, "panic", v, "stack", string(stack[:min(len(stack), maxStack)]))
	*err = errors.Errorf("%s panicked: %v", what, v)
}

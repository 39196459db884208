package spawner

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// maxStack limits the logged stack of a panic, in bytes.
const maxStack = 2 << 10

// Recover turns a panic of the function that defers it into an error and logs where it happened, so that a message that
// causes a panic fails only its own request. The operation is named in the log line and in the error.
func Recover(operation string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	klog.ErrorS(nil, "panic: recovered", "in", operation, "panic", v, "stack", string(stack[:min(len(stack), maxStack)]))
	*err = errors.Errorf("%s panicked: %v", operation, v)
}

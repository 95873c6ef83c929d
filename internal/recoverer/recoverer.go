package recoverer

import (
	"log/slog"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// Call calls f. If f panics, it logs the panic with its stack and returns an error. during says what the process was doing.
func Call(log *slog.Logger, during string, f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = eris.Errorf("panic: %v", v)
			log.Error("Process recovered from a panic.", "during", during, "panic", v, "stack", string(debug.Stack()))
		}
	}()
	f()
	return nil
}

package starter

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
)

// forceQuitAfter is the time after a signal at which go-zero's own signal handling
// ends the process. It is longer than any graceful shutdown, which the settings
// bound.
const forceQuitAfter = 24 * time.Hour

// RedirectLogs redirects go-zero's logs to logger and keeps its signal handling from
// cutting a graceful shutdown short.
func RedirectLogs(logger hclog.Logger) {
	proc.Setup(proc.ShutdownConf{WaitTime: forceQuitAfter})
	logx.DisableStat()
	logx.SetWriter(logWriter{logger: logger.Named("go-zero")})
}

// logWriter passes go-zero's log lines to an hclog logger.
type logWriter struct {
	logger hclog.Logger
}

func (w logWriter) Alert(v any) { w.logger.Error(fmt.Sprint(v)) }

func (w logWriter) Close() error { return nil }

func (w logWriter) Debug(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), keyValues(fields)...)
}

// Error logs at debug level: httpc logs every status from 400 up as an error,
// among them conflicts and refusals, which are part of normal operation. The code
// that made the call logs the errors an operator needs.
func (w logWriter) Error(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), keyValues(fields)...)
}

// Info logs at debug level: httpc logs every call.
func (w logWriter) Info(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), keyValues(fields)...)
}

func (w logWriter) Severe(v any) { w.logger.Error(fmt.Sprint(v)) }

func (w logWriter) Slow(v any, fields ...logx.LogField) {
	w.logger.Warn(fmt.Sprint(v), keyValues(fields)...)
}

func (w logWriter) Stack(v any) { w.logger.Error(fmt.Sprint(v)) }

func (w logWriter) Stat(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), keyValues(fields)...)
}

func keyValues(fields []logx.LogField) []any {
	args := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		args = append(args, f.Key, f.Value)
	}
	return args
}

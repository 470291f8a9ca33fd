// Package logging makes the JSON-lines logger of all programs: one line an
// event on standard error, with the keys step, peer, request, model and revision
// wherever they apply.
package logging

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lilacvane/internal/fault"
)

// New returns a logger for a level: error, info or debug.
func New(level string) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.TimeKey = "time"
	switch level {
	case "error":
		config.Level = zap.NewAtomicLevelAt(zap.ErrorLevel)
	case "info":
		config.Level = zap.NewAtomicLevelAt(zap.InfoLevel)
	case "debug":
		config.Level = zap.NewAtomicLevelAt(zap.DebugLevel)
	default:
		return logr.Discard(), fault.New(fault.CodeInvalid, "open log", "unknown level %q", level)
	}
	logger, err := config.Build()
	if err != nil {
		return logr.Discard(), fault.From(err, "open log")
	}
	return zapr.NewLogger(logger), nil
}

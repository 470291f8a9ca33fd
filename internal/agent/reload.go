package agent

import (
	"bytes"
	"context"
	"os"
	"time"

	"lilacvane/internal/nodeconfig"
	"lilacvane/internal/retry"
)

// settingsInterval is how often the settings file is looked at unasked.
const settingsInterval = time.Second

// ReadSettings reads and checks a settings file. unknown lists fields that are
// not known.
func ReadSettings(path string) (settings nodeconfig.Settings, unknown []string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return settings, nil, err
	}
	settings, unknown, err = nodeconfig.Parse(content)
	if err != nil {
		return settings, unknown, err
	}
	return settings, unknown, settings.Validate()
}

// watchSettings takes over changes of the settings file, on a signal and when it
// changed without one.
func (a *Agent) watchSettings(ctx context.Context, reload <-chan os.Signal, path string) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil || (bytes.Equal(content, last) && !signalled) {
			continue
		}
		last = content
		a.reload(content, signalled)
	}
}

// reload takes over what may change while a node runs. The last good settings
// stay in force when the new ones are bad.
func (a *Agent) reload(content []byte, signalled bool) {
	settings, unknown, err := nodeconfig.Parse(content)
	if err == nil {
		err = settings.Validate()
	}
	if err != nil {
		a.log.Error(err, "settings refused", "signalled", signalled)
		return
	}
	for _, field := range unknown {
		a.log.Info("settings have an unknown field", "step", "read settings", "field", field)
	}
	a.settings.Store(&settings)
	if err := a.log.SetLevel(settings.Log.Level); err != nil {
		a.log.Error(err, "log level refused")
	}
	a.dispatcher.SetRetries(retry.Limits{Ratio: settings.Retries.Ratio, Slack: settings.Retries.Slack, Window: settings.Retries.Window})
	a.log.Info("settings in force", "signalled", signalled)
}

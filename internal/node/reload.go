package node

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/settings"
)

// settingsInterval is how often the settings file is checked for changes without a signal.
const settingsInterval = time.Second

// ReadSettings reads and validates a settings file. unknown lists unknown fields.
func ReadSettings(path string) (read settings.Settings, unknown []string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return read, nil, fault.New(fault.CodeInvalid, "read settings", "%v", err)
	}
	read, unknown, err = settings.Parse(content)
	if err != nil {
		return read, unknown, err
	}
	return read, unknown, read.Validate()
}

// watchSettings applies changes of the settings file, both on a signal and when the content
// changed.
func (n *Node) watchSettings(ctx context.Context, reload <-chan os.Signal, path string) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := n.reloadIfChanged(path)
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
		n.reload(content, signalled)
	}
}

// reloadIfChanged applies a change made while the node started, and returns the content. It returns
// nil if the file cannot be read, which is tried again later.
func (n *Node) reloadIfChanged(path string) []byte {
	content, err := os.ReadFile(path)
	if err != nil {
		n.log.Error(err, "reading settings failed", "step", "start node")
		return nil
	}
	if read, _, err := settings.Parse(content); err != nil || !reflect.DeepEqual(read, *n.settings.Load()) {
		n.reload(content, false)
	}
	return content
}

// reload applies the settings that may change while a node runs. If the new settings are invalid,
// the last valid ones stay active.
func (n *Node) reload(content []byte, signalled bool) {
	read, unknown, err := settings.Parse(content)
	if err == nil {
		err = read.Validate()
	}
	if err != nil {
		n.log.Error(err, "settings refused", "signalled", signalled)
		return
	}
	for _, field := range unknown {
		n.log.Info("unknown settings field ignored", "step", "read settings", "field", field)
	}
	n.settings.Store(&read)
	if err := n.log.SetLevel(read.Log.Level); err != nil {
		n.log.Error(err, "setting log level failed")
	}
	n.dispatcher.SetRetries(retryLimits(read.Retries))
	n.limits.keeper.SetTolerance(tolerance(read.Limits))
	n.log.Info("settings in force", "signalled", signalled)
}

// Package wigeonlog configures the structured logging of a process.
package wigeonlog

import (
	"io"
	"time"

	"wigeonshift/internal/modules/wigeonsetting"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to out with the configured level and format.
func New(s wigeonsetting.Log, out io.Writer) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, oops.In("log").With("level", s.Level).Wrap(err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	if s.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	}
	return logger, nil
}

package server

import (
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/configurer"
)

// newLogger returns the logger of an entry, with its name and availability zone in every line.
func newLogger(set configurer.Settings) *logrus.Entry {
	log := logrus.New()
	if level, err := logrus.ParseLevel(set.LogLevel); err == nil {
		log.SetLevel(level)
	}
	if set.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithFields(logrus.Fields{"entry": set.Name, "availability_zone": set.Zone})
}

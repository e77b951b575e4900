// Package config reads the two settings files of a controller: the platform's TOML file,
// which describes the deployment (addresses, siblings, teams, limits of the services), and
// the operators' properties file, which tunes policies (Tuning). It defines the keys, defaults
// and bounds of both; every value is checked, and every error names its key (KeyError). It
// must not depend on how the settings are used.
package config

import (
	"fmt"
	"os"
)

// Load reads the platform's file and, if its path is not empty, the operators' properties.
func Load(platformPath, propertiesPath string) (*Settings, error) {
	data, err := os.ReadFile(platformPath)
	if err != nil {
		return nil, err // the error contains the path
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", platformPath, err)
	}
	if propertiesPath == "" {
		settings.Tuning = DefaultTuning()
		return settings, nil
	}
	if data, err = os.ReadFile(propertiesPath); err != nil {
		return nil, err
	}
	if settings.Tuning, err = ParseTuning(data); err != nil {
		return nil, fmt.Errorf("%s: %w", propertiesPath, err)
	}
	return settings, nil
}

// KeyError is an error about one key of a settings file.
type KeyError struct {
	Key string // as an operator would write it, for example params.teams[0].cpus
	Err error
}

// Error returns the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the error without the key.
func (e *KeyError) Unwrap() error { return e.Err }

// Command tamarindlead is a controller of the cluster scheduler. It handles the command line,
// the log and signals; packages config and daemon do everything else.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"tamarindlead/config"
	"tamarindlead/daemon"
)

// logLevelVariable is the environment variable with the lowest level that is logged.
const logLevelVariable = "LOG_LEVEL"

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tamarindlead:", singleLine(err))
		os.Exit(1)
	}
}

// singleLine returns the text of an error, which may quote several lines of a settings file, as
// a single line.
func singleLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// settingsFlags are the flags that name the settings files.
type settingsFlags struct {
	configPath     string
	propertiesPath string
}

func (f *settingsFlags) load() (*config.Settings, error) {
	if f.configPath == "" {
		return nil, errors.New("--config: missing")
	}
	return config.Load(f.configPath, f.propertiesPath)
}

func newRootCommand() *cobra.Command {
	var flags settingsFlags
	root := &cobra.Command{
		Use:           "tamarindlead --config FILE",
		Short:         "A controller of the cluster scheduler tamarindlead",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), &flags)
		},
	}
	root.PersistentFlags().StringVar(&flags.configPath, "config", "", "the platform's settings (TOML)")
	root.PersistentFlags().StringVar(&flags.propertiesPath, "properties", "", "the operators' settings (Java-style properties)")
	root.AddCommand(newCheckCommand(&flags))
	root.SetContext(context.Background())
	return root
}

func newCheckCommand(flags *settingsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := flags.load()
			if err != nil {
				return err
			}
			// The exit status is the result of the command, so an error of printing is ignored.
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid (%d siblings, %d teams)\n",
				cfg.Node, len(cfg.Siblings), len(cfg.Teams))
			return nil
		},
	}
}

// run runs the controller until the process receives an interrupt or termination signal.
func run(ctx context.Context, flags *settingsFlags) error {
	cfg, err := flags.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv(logLevelVariable))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, cfg, log)
}

// newLogger returns a logger that writes messages of at least the named level to standard error.
func newLogger(levelName string) (*slog.Logger, error) {
	var level slog.Level
	switch strings.ToLower(levelName) {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, errors.New(logLevelVariable + ": must be error, info or debug")
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

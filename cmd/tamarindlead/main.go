// Command tamarindlead is a controller of the cluster scheduler.
package main

import (
	"context"
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

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "tamarindlead:", oneLine(err))
		os.Exit(1)
	}
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

func command() *cobra.Command {
	var configPath, propertiesPath string
	load := func() (*config.Settings, error) {
		if configPath == "" {
			return nil, fmt.Errorf("--config: missing")
		}
		return config.Load(configPath, propertiesPath)
	}
	root := &cobra.Command{
		Use:           "tamarindlead --config FILE",
		Short:         "A controller of the cluster scheduler tamarindlead",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			log, err := logger(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return daemon.Run(ctx, cfg, log)
		},
	}
	root.PersistentFlags().StringVar(&configPath, "config", "", "the platform's settings (TOML)")
	root.PersistentFlags().StringVar(&propertiesPath, "properties", "", "the operators' settings (Java-style properties)")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid (%d siblings, %d teams)\n",
				cfg.Node, len(cfg.Siblings), len(cfg.Teams))
			return nil
		},
	})
	root.SetContext(context.Background())
	return root
}

func logger(level string) (*slog.Logger, error) {
	levels := map[string]slog.Level{
		"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug,
	}
	l, ok := levels[strings.ToLower(level)]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug")
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}

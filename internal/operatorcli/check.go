package operatorcli

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// flagConfiguration is the flag for the configuration file to check.
const flagConfiguration = "configuration"

// configCommand returns the command "config check".
func configCommand() *cli.Command {
	flags := append(static.Flags(), &cli.StringFlag{
		Name:  flagConfiguration,
		Usage: "`FILE` with a configuration as JSON",
	})
	check := &cli.Command{
		Name:         "check",
		Usage:        "report every fault of a node's settings and of a configuration",
		Flags:        flags,
		Action:       runCheck,
		OnUsageError: refuseUsage,
	}
	return &cli.Command{Name: "config", Usage: "checks of files", Commands: []*cli.Command{check}}
}

// runCheck prints the faults of the settings and of the configuration, one per line. The
// settings are not checked if a configuration file is given without a settings file.
func runCheck(_ context.Context, command *cli.Command) error {
	var faults []string
	configuration := command.String(flagConfiguration)
	if configuration == "" || command.String(static.FlagSettings) != "" {
		faults = append(faults, settingsFaults(command)...)
	}
	if configuration != "" {
		found, err := configurationFaults(command, configuration)
		if err != nil {
			return err
		}
		faults = append(faults, found...)
	}
	out := command.Root().Writer
	for _, fault := range faults {
		_, _ = fmt.Fprintln(out, fault)
	}
	if len(faults) > 0 {
		return &ExitError{Code: ExitRefused, Message: fmt.Sprintf("faults found: %d", len(faults))}
	}
	_, _ = fmt.Fprintln(out, "no faults")
	return nil
}

// settingsFaults returns the faults of the node's settings, one line each.
func settingsFaults(command *cli.Command) []string {
	settings, err := static.FromCommand(command)
	if err != nil {
		return prefixed("settings", err)
	}
	var faults []string
	for _, fault := range settings.Check() {
		faults = append(faults, prefixed("settings", fault)...)
	}
	return faults
}

// configurationFaults returns the faults of a configuration, one line each. It returns an
// error only if the file could not be read.
func configurationFaults(command *cli.Command, path string) ([]string, error) {
	data, err := readInput(command, path)
	if err != nil {
		return nil, err
	}
	configuration, err := dynamic.Parse(data)
	if err == nil {
		err = dynamic.Validate(configuration)
	}
	if err != nil {
		return prefixed("configuration", err), nil
	}
	return nil, nil
}

// prefixed splits an error text into lines, one fault each, and prefixes each with its source.
func prefixed(source string, err error) []string {
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		lines[i] = source + ": " + lines[i]
	}
	return lines
}

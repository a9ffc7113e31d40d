package static

import (
	"reflect"
	"strings"

	"github.com/urfave/cli/v3"
)

// FlagSettings is the name of the command line flag for the settings file.
const FlagSettings = "settings"

// Flags returns the command line flags of the settings: one for the settings file, and one
// for each setting, which takes precedence over the file. A flag has the name of the setting
// with dashes in place of underscores; a list is given by repeating the flag.
func Flags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: FlagSettings, Usage: "`FILE` with the node's settings, YAML or JSON"},
	}
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		flags = append(flags, flagFor(settings.Field(i)))
	}
	return flags
}

// FromCommand reads the settings file that the command names, if any, replaces the settings
// for which flags are given, and fills in the defaults. The result is not checked: see
// Settings.Check.
func FromCommand(command *cli.Command) (*Settings, error) {
	settings := &Settings{}
	if path := command.String(FlagSettings); path != "" {
		// The defaults are filled in after the flags, because the default of ServiceShards
		// depends on whether a group is given.
		loaded, err := readFile(path)
		if err != nil {
			return nil, err
		}
		settings = loaded
	}
	settings.override(command)
	settings.FillDefaults()
	return settings, nil
}

// override replaces the settings for which flags are given.
func (s *Settings) override(command *cli.Command) {
	for name, field := range s.fields() {
		flag := flagName(name)
		if !command.IsSet(flag) {
			continue
		}
		switch field := field.(type) {
		case *string:
			*field = command.String(flag)
		case *bool:
			*field = command.Bool(flag)
		case *int:
			*field = command.Int(flag)
		case *[]string:
			*field = command.StringSlice(flag)
		}
	}
}

// flagFor returns the flag of one field, according to the field's type and tags.
func flagFor(field reflect.StructField) cli.Flag {
	name := flagName(settingName(field))
	usage := field.Tag.Get("usage")
	switch field.Type.Kind() {
	case reflect.Bool:
		return &cli.BoolFlag{Name: name, Usage: usage}
	case reflect.Int:
		return &cli.IntFlag{Name: name, Usage: usage}
	case reflect.Slice:
		return &cli.StringSliceFlag{Name: name, Usage: usage}
	default:
		return &cli.StringFlag{Name: name, Usage: usage}
	}
}

func flagName(field string) string {
	return strings.ReplaceAll(field, "_", "-")
}

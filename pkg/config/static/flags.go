package static

import (
	"reflect"
	"strings"

	"github.com/urfave/cli/v3"
)

// FlagSettings names the settings file on the command line.
const FlagSettings = "settings"

// Flags are the command line flags of the settings: the file, and one flag for
// each field, which takes precedence over the file. A flag has the field's name with dashes
// in place of underscores; a list is given by repeating the flag.
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

// FromCommand reads the settings file that the command names, if any, overrides it by
// the given flags, and fills in the defaults. The result is not
// checked: see Settings.Check.
func FromCommand(command *cli.Command) (*Settings, error) {
	settings := &Settings{}
	if path := command.String(FlagSettings); path != "" {
		// Defaults depend on what flags give.
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

// override applies the given flags.
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

// flagFor builds the flag of one field by the field's type and tags.
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

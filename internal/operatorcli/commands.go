package operatorcli

import (
	"context"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
)

// Commands returns the operator verbs: one for each call of the schema, and "config check".
// It panics if the compiled schema is incomplete.
func Commands() []*cli.Command {
	commands := []*cli.Command{configCommand()}
	for _, call := range lo.Must(schema.Calls()) {
		verbs := strings.Fields(call.Binding.GetVerb())
		commands = addVerb(commands, verbs, call)
	}
	return commands
}

// addVerb adds the command of a call below the commands that the words of its verb name.
// Verbs that begin with the same word share a parent command.
func addVerb(commands []*cli.Command, verbs []string, call schema.Call) []*cli.Command {
	if len(verbs) == 1 {
		return append(commands, verbCommand(verbs[0], call))
	}
	parent, found := lo.Find(commands, func(command *cli.Command) bool {
		return command.Name == verbs[0]
	})
	if !found {
		parent = &cli.Command{Name: verbs[0], Usage: "calls of " + string(call.Method.Parent().Name())}
		commands = append(commands, parent)
	}
	parent.Commands = addVerb(parent.Commands, verbs[1:], call)
	return commands
}

// verbCommand returns the command of one call.
func verbCommand(name string, call schema.Call) *cli.Command {
	binding := call.Binding
	flags := append(clientFlags(call.Method.Output()), requestFlags(call.Method.Input())...)
	run := runVerb
	if isStatus(call) {
		flags = append(flags, statusFlags()...)
		run = runStatus
	}
	return &cli.Command{
		Name:  name,
		Usage: string(call.Method.Name()) + ": " + binding.GetMethod() + " " + binding.GetPath(),
		Flags: flags,
		Action: func(ctx context.Context, command *cli.Command) error {
			return run(ctx, command, call)
		},
		OnUsageError: refuseUsage,
	}
}

// runVerb builds the request of a call, sends it and prints the response.
func runVerb(ctx context.Context, command *cli.Command, call schema.Call) error {
	if command.Args().Present() {
		return usageError("unexpected argument " + command.Args().First() + "; give flags alone")
	}
	printer, err := newPrinter(command, call.Method.Output())
	if err != nil {
		return err
	}
	orderID := orderIDOf(command, call.Method.Input())
	request, err := buildRequest(command, call, orderID)
	if err != nil {
		return err
	}
	if orderID != "" {
		printer.printMessage("order-id: " + orderID)
	}
	client := newClient(command.StringSlice(flagNode), command.Duration(flagTimeout))
	reply, err := client.send(ctx, call, request)
	if err != nil {
		return err
	}
	if err := printer.print(reply.body); err != nil {
		return err
	}
	if reply.pending() {
		return &ExitError{Code: ExitPending, Message: "pending: the order may take effect; resend it with --order-id " + orderID}
	}
	return nil
}

// refuseUsage turns an error in the flags of a command into an *ExitError with the code
// ExitUsage.
func refuseUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError(err.Error() + "; see --help")
}

// isOrder reports whether a request changes the configuration.
func isOrder(request protoreflect.MessageDescriptor) bool {
	return request.Fields().ByName(schema.OrderField) != nil
}

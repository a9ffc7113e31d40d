package fleet

// What the tests reach beside the exported interface.
var (
	SettingsOf   = settingsOf
	StartProcess = startProcess
)

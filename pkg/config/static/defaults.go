package static

// FillDefaults sets the settings that have a default and are zero. Load, Parse and
// FromCommand do so; it is for settings that come from elsewhere.
func (s *Settings) FillDefaults() {
	setDefault(&s.PlatformPollEveryMS, int(DefaultPlatformPollEvery.Milliseconds()))
	setDefault(&s.CommandGapMS, int(DefaultCommandGap.Milliseconds()))
	if s.Seeded() {
		setDefault(&s.ServiceShards, DefaultSeededServiceShards)
	}
	setDefault(&s.ServiceShards, DefaultServiceShards)
	setDefault(&s.ContactMS, int(DefaultContact.Milliseconds()))
	setDefault(&s.AcknowledgeMS, int(DefaultAcknowledge.Milliseconds()))
	setDefault(&s.TickEveryMS, int(DefaultTickEvery.Milliseconds()))
	setDefault(&s.HeartbeatEveryMS, int(DefaultHeartbeatEvery.Milliseconds()))
	setDefault(&s.RetryPercent, DefaultRetryPercent)
	setDefault(&s.RetryWindowMS, int(DefaultRetryWindow.Milliseconds()))
	setDefault(&s.BackendRetryMS, int(DefaultBackendRetry.Milliseconds()))
	setDefault(&s.EjectionMS, int(DefaultEjection.Milliseconds()))
	setDefault(&s.EjectedPercent, DefaultEjectedPercent)
	setDefault(&s.DrainTimeoutMS, int(DefaultDrainTimeout.Milliseconds()))
	setDefault(&s.HeapGrowthPercent, DefaultHeapGrowthPercent)
	setDefault(&s.LogRing, DefaultLogRing)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.Deployment, DefaultDeployment)
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

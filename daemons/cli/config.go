package cli

import (
	"context"
	"io"
	"io/fs"
	"os"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/check"
	"github.com/filbertmux/filbertmux/platform"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a configuration before it is sent."`
}

// versionInForce is the value of --against for the version that is in force.
const versionInForce = "version"

// configCheckCommand checks a configuration of the users' platform.
type configCheckCommand struct {
	File     string `arg:"" help:"File with the configuration."`
	Against  string `help:"Version that it replaces: a file, or \"version\" for the one in force, which is read from the store."`
	JSON     bool   `name:"json" help:"Print the report as one JSON object."`
	Settings string `name:"settings-file" help:"Settings file of the platform, for what depends on the deployment."`
	Store    string `name:"store" help:"Address of the store, HOST:PORT, for --against=version; by default that of the settings file."`
}

// Run implements the config check command. The error has the kind CheckFailed if the
// processes refuse the configuration, and CheckNotRun if it can't be checked.
func (c *configCheckCommand) Run(ctx context.Context, out io.Writer) error {
	report, err := c.check(ctx)
	if err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "check configuration")
	}
	data, err := report.Format(c.JSON)
	if err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "check configuration")
	}
	if _, err := out.Write(data); err != nil {
		return errkind.Wrap(errkind.CheckNotRun, err, "write report")
	}
	return report.Err()
}

func (c *configCheckCommand) check(ctx context.Context) (check.Report, error) {
	settings, err := c.loadSettings()
	if err != nil {
		return check.Report{}, err
	}
	data, err := readConfigFile(c.File)
	if err != nil {
		return check.Report{}, err
	}
	run := check.ConfigCheck{File: c.File, Document: platform.ParseConfig(data)}
	if settings != nil {
		deployment := settings.Deployment()
		run.Deployment = &deployment
	}
	if c.Against != "" {
		if run.Against, run.AgainstSource, err = c.readAgainst(ctx, settings); err != nil {
			return check.Report{}, err
		}
	}
	return run.Run(), nil
}

// loadSettings returns the settings of the platform, or nil on a machine without them.
func (c *configCheckCommand) loadSettings() (*platform.Settings, error) {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) && path == platform.DefaultSettingsPath {
			return nil, nil
		}
	}
	s, err := platform.LoadSettingsFile(path)
	return &s, err
}

// readConfigFile returns the content of a file, and no more of a larger file than is needed
// to refuse it.
func readConfigFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, platform.MaxConfigBytes+1))
}

// readAgainst returns the version to compare with, and its source.
func (c *configCheckCommand) readAgainst(ctx context.Context, settings *platform.Settings) (*check.Document, string, error) {
	source := c.Against
	var data []byte
	var err error
	if c.Against == versionInForce {
		source = check.InForce
		data, err = c.readInForce(ctx, settings)
	} else {
		data, err = readConfigFile(c.Against)
	}
	if err != nil {
		return nil, "", err
	}
	if _, err := platform.DecodeConfig(data); err != nil {
		return nil, "", errors.Wrapf(err, "version to compare with, %s", source)
	}
	document := platform.ParseConfig(data)
	return &document, source, nil
}

// readInForce reads the newest configuration from the store.
func (c *configCheckCommand) readInForce(ctx context.Context, settings *platform.Settings) ([]byte, error) {
	address := c.Store
	if address == "" && settings != nil {
		address = settings.Store.Address
	}
	if address == "" {
		return nil, errkind.New(errkind.InvalidSettings, "--against=version needs --store or a settings file of the platform")
	}
	store := platform.NewStoreClient(address)
	defer store.CloseIdleConnections()
	records, _, err := store.ReadNewest(ctx, platform.ConfigTopic)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Key == platform.ConfigKey {
			return r.Value, r.Err
		}
	}
	return nil, errkind.New(errkind.InvalidSettings, "the store holds no configuration yet")
}

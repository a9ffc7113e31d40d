package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/disk"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

const (
	// addressesFile is the file that contains the internal addresses of other nodes with disks.
	addressesFile = "addresses"
	// addressesInterval is how often the known addresses are compared with the file.
	addressesInterval = 5 * time.Second
)

// seeds returns the seeds from the settings, followed by the stored addresses of nodes with
// disks that this node knew before it stopped. The stored addresses help when the seeds are
// down or name machines that no longer exist.
func (s *storage) seeds(settings *static.Settings) []string {
	if s.disk == nil || !settings.Seeded() {
		return settings.Seeds
	}
	stored, err := readAddresses(s.disk)
	if err != nil {
		// The stored addresses are optional: the seeds from the settings are enough.
		return settings.Seeds
	}
	return lo.Uniq(slices.Concat(settings.Seeds, stored))
}

// readAddresses returns the addresses in addressesFile.
func readAddresses(folder *disk.Disk) ([]string, error) {
	data, err := folder.ReadFile(addressesFile)
	if err != nil {
		return nil, err
	}
	var addresses []string
	err = json.Unmarshal(data, &addresses)
	return addresses, errors.Wrap(err, "read the addresses of other nodes")
}

// addressService keeps addressesFile in the data folder up to date.
type addressService struct {
	storage *storage
	driver  *driver.Driver
	log     *logrus.Entry
}

// Serve implements suture.Service.
func (s *addressService) Serve(ctx context.Context) error {
	written, _ := readAddresses(s.storage.disk)
	ticker := time.NewTicker(addressesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			written = s.write(written)
		}
	}
}

// write updates the file if the known addresses differ from written, and returns the
// addresses that the file then contains. A node that knows no other node may be partitioned
// and leaves the file unchanged.
func (s *addressService) write(written []string) []string {
	addresses := s.driver.CoreNodeAddresses()
	if len(addresses) == 0 || slices.Equal(addresses, written) {
		return written
	}
	data, err := json.Marshal(addresses)
	if err == nil {
		err = s.storage.disk.WriteFile(addressesFile, data)
	}
	if err != nil {
		s.log.WithError(err).Warn("cannot write the addresses of other nodes; free space in the data folder")
		return written
	}
	return addresses
}

// String implements fmt.Stringer for the supervisor's messages.
func (s *addressService) String() string {
	return "addresses of other nodes"
}

package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"snipetack/internal/command/settings"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/transport/disk"
)

type backup struct {
	fleetFlags
	File string `long:"file" description:"new file to write" value-name:"FILE" required:"yes"`
}

func (c *backup) run(e *environment) error {
	f, err := c.client()
	if err != nil {
		return err
	}
	b, err := f.Backup(e.ctx)
	if err != nil {
		return errors.Wrap(err, "fetching a backup")
	}
	if err := writeNew(c.File, b); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%d bytes written to %s\n", len(b), c.File)
	return nil
}

type restore struct {
	Settings string `long:"settings" description:"settings file" value-name:"FILE" required:"yes"`
	VM       string `long:"vm" description:"VM whose data folder is filled; it must be empty" value-name:"NAME" required:"yes"`
	File     string `long:"file" description:"backup to read" value-name:"FILE" required:"yes"`
}

func (c *restore) run(e *environment) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return invalid{err}
	}
	v, ok := s.VM(c.VM)
	if !ok || !v.Keeper() {
		return invalid{errors.Errorf("%s names no VM %q with a data folder", c.Settings, c.VM)}
	}
	b, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "reading the backup")
	}
	d, err := disk.New(v.DataFolder)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := replica.RestoreBackup(d, v.Name, b); err != nil {
		return errors.Wrapf(err, "restoring %s from %s", v.DataFolder, c.File)
	}
	fmt.Fprintf(e.out, "%s restored; start VM %s, then add the other keepers with keeper add\n", v.DataFolder, v.Name)
	return nil
}

// writeNew creates a file, writes b to it and syncs it to disk. It fails if the file exists, so that no earlier backup is
// overwritten.
func writeNew(file string, b []byte) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "creating the file")
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	return errors.Wrapf(err, "writing %s", file)
}

package operator

import (
	"context"
	"net/http"

	"snipetack/internal/protocol/reply"
)

// BackupProvider copies the state of all groups.
type BackupProvider interface {
	Backup(ctx context.Context) ([]byte, error)
}

// MountBackup adds the route to a server from which an operator downloads a backup.
func MountBackup(s *Server, p BackupProvider) {
	s.Mount("GET /operator/v1/backup", func(w http.ResponseWriter, r *http.Request, operator string) {
		b, err := p.Backup(r.Context())
		s.d.Log.Info("backup", "operator", operator, "bytes", len(b), "error", err)
		if err != nil {
			reply.Failure(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(b)
	})
}

// Backup downloads the state of all groups, in the format that a data folder is restored from.
func (c *Client) Backup(ctx context.Context) ([]byte, error) {
	b, _, err := c.call(ctx, http.MethodGet, "/operator/v1/backup", nil, maxBackup)
	return b, err
}

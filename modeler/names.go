package modeler

import (
	"strings"

	"github.com/pkg/errors"
)

// VMName names one VM of the tier.
type VMName string

// FailureDomain names a set of VMs and searchers that can be lost together.
type FailureDomain string

// TeamName names a customer that shares the tier.
type TeamName string

// IndexName names an index that callers search.
type IndexName string

// ServiceName names a group of searchers that are replicas of each other.
type ServiceName string

// SearcherName names one searcher of a service.
type SearcherName string

// ShardName names one shard of a snapshot.
type ShardName string

// RequestID identifies one request of one caller.
type RequestID string

// SnapshotID orders the snapshots of one index; the greater is the newer.
type SnapshotID uint64

// Revision is the platform's own order of the values it holds.
type Revision uint64

// ParseName checks that s is kebab-case text of at most MaxNameLength bytes.
func ParseName(s string) error {
	if s == "" {
		return errors.New("is empty")
	}
	if len(s) > MaxNameLength {
		return errors.Errorf("is longer than %d bytes", MaxNameLength)
	}
	if i := strings.IndexFunc(s, notNameRune); i >= 0 {
		return errors.Errorf("has %q, only a-z, 0-9, '-' and '.' are allowed", s[i])
	}
	return nil
}

func notNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
}

// ParseRequestID checks an id that a caller chose; it returns an error for an empty, overlong or unprintable one.
func ParseRequestID(s string) (RequestID, error) {
	if s == "" || len(s) > MaxRequestIDLength {
		return "", errors.Errorf("request id must have 1 to %d bytes", MaxRequestIDLength)
	}
	for _, r := range s {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			return "", errors.New("request id must be printable ASCII without spaces or quotes")
		}
	}
	return RequestID(s), nil
}

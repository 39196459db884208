package modeler

import (
	"strings"

	"github.com/pkg/errors"
)

// VMName is the name of a VM of the tier.
type VMName string

// FailureDomain is the name of a set of VMs and searchers that can fail together.
type FailureDomain string

// TeamName is the name of a customer that shares the tier with others.
type TeamName string

// IndexName is the name of an index that callers search.
type IndexName string

// ServiceName is the name of a service: a group of searchers that are replicas of each other.
type ServiceName string

// SearcherName is the name of a searcher.
type SearcherName string

// ShardName is the name of a shard, unique within its snapshot.
type ShardName string

// RequestID identifies one request of a caller, who chooses it.
type RequestID string

// SnapshotID identifies a snapshot within its index; a newer snapshot has a greater id.
type SnapshotID uint64

// ParseName checks a name. It returns an error unless s has 1 to MaxNameLength bytes, all of them lower-case letters,
// digits, '-' or '.'.
func ParseName(s string) error {
	if s == "" {
		return errors.New("is empty")
	}
	if len(s) > MaxNameLength {
		return errors.Errorf("is longer than %d bytes", MaxNameLength)
	}
	if i := strings.IndexFunc(s, invalidNameRune); i >= 0 {
		return errors.Errorf("has %q, only a-z, 0-9, '-' and '.' are allowed", s[i])
	}
	return nil
}

func invalidNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.'
}

// ParseRequestID returns s as a request id. It returns an error unless s has 1 to MaxRequestIDLength bytes
// of printable ASCII without spaces, double quotes and backslashes.
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

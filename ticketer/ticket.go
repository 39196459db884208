package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiogap/pistachiogap/modeler"
)

// Bounds of tickets.
const (
	BeginWithin  = 2 * time.Minute
	ResendWindow = 10 * time.Minute
	MaxRecords   = 1 << 17
	checkBytes   = 10
	fieldCount   = 5
)

// Incarnation identifies one run of one process.
type Incarnation uint64

// Ticket names the one incarnation that may run a request, and until when it may begin.
type Ticket struct {
	Home    Incarnation
	Service modeler.ServiceName
	Serial  uint64
	Expiry  time.Time
}

// Signer writes and reads tickets with check values by the keys of the fleet; the first key signs.
type Signer struct{ keys [][]byte }

// NewSigner makes a signer; it needs at least one key.
func NewSigner(keys [][]byte) *Signer { return &Signer{keys: keys} }

// Format returns the text of a ticket.
func (s *Signer) Format(t Ticket) string {
	body := fmt.Sprintf("%x_%s_%x_%x", uint64(t.Home), t.Service, t.Serial, t.Expiry.UnixMilli())
	return body + "_" + check(s.keys[0], body)
}

// Parse returns the ticket of a text; the error says that no VM of the fleet issued it.
func (s *Signer) Parse(text string) (Ticket, error) {
	fields := strings.Split(text, "_")
	if len(fields) != fieldCount {
		return Ticket{}, errors.New("is not a ticket")
	}
	body := text[:strings.LastIndexByte(text, '_')]
	if !s.signed(body, fields[4]) {
		return Ticket{}, errors.New("ticket has a wrong check value")
	}
	home, err1 := strconv.ParseUint(fields[0], 16, 64)
	serial, err2 := strconv.ParseUint(fields[2], 16, 64)
	expiry, err3 := strconv.ParseInt(fields[3], 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Ticket{}, errors.New("ticket has a malformed field")
	}
	return Ticket{Incarnation(home), modeler.ServiceName(fields[1]), serial, time.UnixMilli(expiry)}, nil
}

func (s *Signer) signed(body, sum string) bool {
	for _, k := range s.keys {
		if hmac.Equal([]byte(check(k, body)), []byte(sum)) {
			return true
		}
	}
	return false
}

func check(key []byte, body string) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("ticket "))
	m.Write([]byte(body))
	return hex.EncodeToString(m.Sum(nil)[:checkBytes])
}

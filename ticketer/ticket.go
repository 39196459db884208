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
	// BeginWithin is how long after its issue a ticket may be used for the first time.
	BeginWithin = 2 * time.Minute
	// ResendWindow is how long after the expiry of a used ticket its outcome is kept at least, so that a resend gets the
	// same outcome. Sweep keeps it for BeginWithin+ResendWindow from the start of the request.
	ResendWindow = 10 * time.Minute
	// MaxRecords bounds the records of tickets that one incarnation keeps.
	MaxRecords = 1 << 17
	// macBytes is the length of the truncated authentication code in a ticket's text.
	macBytes = 10
	// fieldCount is the number of fields in a ticket's text.
	fieldCount = 5
)

// Incarnation identifies one run of one process.
type Incarnation uint64

// Ticket permits one request to run on one incarnation. Issuer and Serial identify it.
type Ticket struct {
	Issuer  Incarnation // the issuer, which runs the request unless a successor has adopted its tickets
	Service modeler.ServiceName
	Serial  uint64
	Expiry  time.Time // the latest time at which the request may begin
}

// Signer formats and parses tickets with authentication codes under the keys of the fleet.
// It writes codes with the first key and accepts codes of any key.
type Signer struct{ keys [][]byte }

// NewSigner returns a Signer; keys must not be empty.
func NewSigner(keys [][]byte) *Signer { return &Signer{keys: keys} }

// Format returns the text of a ticket.
func (s *Signer) Format(t Ticket) string {
	body := fmt.Sprintf("%x_%s_%x_%x", uint64(t.Issuer), t.Service, t.Serial, t.Expiry.UnixMilli())
	return body + "_" + ticketMAC(s.keys[0], body)
}

// Parse returns the ticket of a text, or an error if the text was not issued by a VM of the fleet.
func (s *Signer) Parse(text string) (Ticket, error) {
	fields := strings.Split(text, "_")
	if len(fields) != fieldCount {
		return Ticket{}, errors.New("is not a ticket")
	}
	body := text[:strings.LastIndexByte(text, '_')]
	if !s.verifyMAC(body, fields[4]) {
		return Ticket{}, errors.New("ticket has a wrong check value")
	}
	issuer, err1 := strconv.ParseUint(fields[0], 16, 64)
	serial, err2 := strconv.ParseUint(fields[2], 16, 64)
	expiry, err3 := strconv.ParseInt(fields[3], 16, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Ticket{}, errors.New("ticket has a malformed field")
	}
	return Ticket{Incarnation(issuer), modeler.ServiceName(fields[1]), serial, time.UnixMilli(expiry)}, nil
}

func (s *Signer) verifyMAC(body, mac string) bool {
	for _, k := range s.keys {
		if hmac.Equal([]byte(ticketMAC(k, body)), []byte(mac)) {
			return true
		}
	}
	return false
}

func ticketMAC(key []byte, body string) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("ticket "))
	m.Write([]byte(body))
	return hex.EncodeToString(m.Sum(nil)[:macBytes])
}

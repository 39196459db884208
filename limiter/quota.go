package limiter

import "time"

// QuotaPart is one VM's part of the requests that a searcher takes from all VMs together.
type QuotaPart struct {
	Rate  float64 // requests per second
	Burst float64 // requests that may follow each other at once
}

// QuotaPartOf divides a searcher's limit, in requests per second, over the VMs. As many VMs as the limit allows one
// request a second are holders and share it, those with the lowest ranks. The others only send it a request now and
// then, to notice when it no longer states the limit; together they send TrialFraction of it. The bursts of all VMs
// together are at most about the requests of a second.
func QuotaPartOf(limit float64, vms, rank int) QuotaPart {
	limit = max(limit, MinQuota)
	vms = max(1, vms)
	if limit >= float64(vms) {
		rate := limit / float64(vms)
		return QuotaPart{rate, rate}
	}
	holders := max(1, int(limit))
	if rank < holders {
		rate := limit * (1 - TrialFraction) / float64(holders)
		return QuotaPart{rate, max(1, rate)}
	}
	return QuotaPart{limit * TrialFraction / float64(vms-holders), 1}
}

// Quota limits the requests of one VM to a searcher that takes only a part of the VM's requests. The zero Quota limits
// nothing.
type Quota struct {
	part      QuotaPart
	tokens    float64 // below 0 if requests were sent at the same time
	updatedAt time.Time
	limited   bool
}

// Set limits the requests to the part. The fraction, from 0 to 1, is that of a first request that the VM may send at
// once; with different fractions, VMs don't all send their first requests at the same time.
func (q *Quota) Set(now time.Time, part QuotaPart, fraction float64) {
	if !q.limited {
		q.limited, q.tokens, q.updatedAt = true, fraction, now
	}
	q.refill(now)
	q.part = part
	q.tokens = min(q.tokens, part.Burst)
}

// Limited reports whether there is a limit.
func (q *Quota) Limited() bool { return q.limited }

func (q *Quota) refill(now time.Time) {
	if since := now.Sub(q.updatedAt).Seconds(); since > 0 {
		q.tokens = min(q.part.Burst, q.tokens+since*q.part.Rate)
		q.updatedAt = now
	}
}

// Wait returns how long the VM must wait before its next request. The reserve, from 0 to 1, is the fraction of the burst
// beyond the first request that it leaves to more urgent requests.
func (q *Quota) Wait(now time.Time, reserve float64) time.Duration {
	if !q.limited {
		return 0
	}
	q.refill(now)
	missing := 1 + reserve*(q.part.Burst-1) - q.tokens
	if missing <= tolerance {
		return 0
	}
	return time.Duration(min(missing/q.part.Rate*float64(time.Second), float64(MaxQuotaWait)))
}

// Take counts a request that is sent.
func (q *Quota) Take(now time.Time) {
	if q.limited {
		q.refill(now)
		q.tokens--
	}
}

// GiveBack takes back a request that was counted but not sent.
func (q *Quota) GiveBack() {
	if q.limited {
		q.tokens = min(q.part.Burst, q.tokens+1)
	}
}

// Tokens returns how many requests the VM may send at once, which may be a fraction, and how many at most.
func (q *Quota) Tokens(now time.Time) (tokens, burst float64) {
	q.refill(now)
	return max(0, q.tokens), q.part.Burst
}

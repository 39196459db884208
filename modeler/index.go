package modeler

// Weighing says which measure a team gives the most weight.
type Weighing string

// The two weighings that a questionnaire offers.
const (
	WeighTail     Weighing = "tail-latency"
	WeighCoverage Weighing = "coverage"
)

// Shard is one part of a snapshot, held by all searchers of one service.
type Shard struct {
	Name      ShardName   `json:"name"`
	Service   ServiceName `json:"service"`
	Documents uint64      `json:"documents"`
}

// Snapshot is one version of an index with its partition map.
type Snapshot struct {
	ID     SnapshotID `json:"id"`
	Shards []Shard    `json:"shards"`
}

// Policy is how the tier serves the searches of one index.
type Policy struct {
	Weighing      Weighing `json:"weighing"`
	Deadline      Duration `json:"deadline"`
	LeastCoverage float64  `json:"least-coverage"`
	Patience      Duration `json:"patience"`
	HedgeShare    float64  `json:"hedge-share"`
	HedgeQuantile float64  `json:"hedge-quantile"`
	RetryShare    float64  `json:"retry-share"`
}

// Index is what callers search: a series of snapshots and a policy.
type Index struct {
	Name      IndexName  `json:"name"`
	Team      TeamName   `json:"team"`
	Policy    Policy     `json:"policy"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Team is a customer, its guaranteed share of a VM's capacity and its urgent indexes.
type Team struct {
	Name   TeamName    `json:"name"`
	Share  float64     `json:"share"`
	Urgent []IndexName `json:"urgent,omitempty"`
}

func (t Team) check(p *Problems, path ...any) {
	p.Name(string(t.Name), append(path, "name")...)
	checkShare(p, t.Share, append(path, "share")...)
}

func checkShare(p *Problems, v float64, path ...any) {
	if v < 0 || v > 1 {
		p.Add("must be from 0 to 1", path...)
	}
}

func (y Policy) check(p *Problems, path ...any) {
	if y.Weighing != WeighTail && y.Weighing != WeighCoverage {
		p.Add(`must be "tail-latency" or "coverage"`, append(path, "weighing")...)
	}
	if y.Deadline.Duration < MinDeadline || y.Deadline.Duration > MaxDeadline {
		p.Add("must be from 1ms to 1m", append(path, "deadline")...)
	}
	if y.Patience.Duration > y.Deadline.Duration {
		p.Add("must not exceed the deadline", append(path, "patience")...)
	}
	checkShare(p, y.LeastCoverage, append(path, "least-coverage")...)
	checkShare(p, y.HedgeShare, append(path, "hedge-share")...)
	checkShare(p, y.RetryShare, append(path, "retry-share")...)
	if y.HedgeQuantile <= 0 || y.HedgeQuantile >= 1 {
		p.Add("must lie between 0 and 1", append(path, "hedge-quantile")...)
	}
}

func (x Index) check(p *Problems, path ...any) {
	p.Name(string(x.Name), append(path, "name")...)
	p.Name(string(x.Team), append(path, "team")...)
	x.Policy.check(p, append(path, "policy")...)
	if len(x.Snapshots) == 0 {
		p.Add("must hold a snapshot", append(path, "snapshots")...)
	}
	var last SnapshotID
	for i, s := range x.Snapshots {
		at := append(append([]any{}, path...), "snapshots", i)
		if s.ID <= last {
			p.Add("ids must rise", append(at, "id")...)
		}
		last = s.ID
		s.check(p, at...)
	}
}

func (s Snapshot) check(p *Problems, path ...any) {
	if len(s.Shards) == 0 || len(s.Shards) > MaxShards {
		p.Add("must hold 1 to 20000 shards", append(path, "shards")...)
	}
	seen := map[ShardName]bool{}
	for i, h := range s.Shards {
		at := append(append([]any{}, path...), "shards", i)
		p.Name(string(h.Name), append(at, "name")...)
		p.Name(string(h.Service), append(at, "service")...)
		if seen[h.Name] {
			p.Add("is the name of two shards", append(at, "name")...)
		}
		seen[h.Name] = true
	}
}

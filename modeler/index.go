package modeler

// Weighing says which measure matters most to a team: tail latency or coverage.
type Weighing string

// The weighings that a questionnaire may name.
const (
	WeighingTailLatency Weighing = "tail-latency"
	WeighingCoverage    Weighing = "coverage"
)

// Shard is one partition of a snapshot. All searchers of one service hold it.
type Shard struct {
	Name      ShardName   `json:"name"`
	Service   ServiceName `json:"service"`
	Documents uint64      `json:"documents"`
}

// Snapshot is one version of an index: its shards and the services that hold them.
type Snapshot struct {
	ID     SnapshotID `json:"id"`
	Shards []Shard    `json:"shards"`
}

// Policy says how the tier serves the searches of one index. A search that has reached the least coverage ends after
// Patience, counted from its start, instead of at its deadline; a Patience of 0 means until the deadline. A shard is
// hedged once it is slower than HedgeQuantile of its service's recent answers. HedgeShare and RetryShare bound hedges and
// retries, as fractions of the primary load.
type Policy struct {
	Weighing      Weighing `json:"weighing"`
	Deadline      Duration `json:"deadline"`
	LeastCoverage float64  `json:"least-coverage"`
	Patience      Duration `json:"patience"`
	HedgeShare    float64  `json:"hedge-share"`
	HedgeQuantile float64  `json:"hedge-quantile"`
	RetryShare    float64  `json:"retry-share"`
}

// Index is what callers search: its snapshots, in ascending order of id, and its policy.
type Index struct {
	Name      IndexName  `json:"name"`
	Team      TeamName   `json:"team"`
	Policy    Policy     `json:"policy"`
	Snapshots []Snapshot `json:"snapshots"`
}

// Team is a customer of the tier, its guaranteed share of each VM's capacity, and its urgent indexes,
// whose searches are admitted up to a higher concurrency limit than others.
type Team struct {
	Name   TeamName    `json:"name"`
	Share  float64     `json:"share"`
	Urgent []IndexName `json:"urgent,omitempty"`
}

func (t Team) check(p *Problems, path ...any) {
	p.CheckName(string(t.Name), append(path, "name")...)
	checkFraction(p, t.Share, append(path, "share")...)
}

func checkFraction(p *Problems, v float64, path ...any) {
	if v < 0 || v > 1 {
		p.Add("must be from 0 to 1", path...)
	}
}

func (pol Policy) check(p *Problems, path ...any) {
	if pol.Weighing != WeighingTailLatency && pol.Weighing != WeighingCoverage {
		p.Add(`must be "tail-latency" or "coverage"`, append(path, "weighing")...)
	}
	if pol.Deadline.Duration < MinDeadline || pol.Deadline.Duration > MaxDeadline {
		p.Add("must be from 1ms to 1m", append(path, "deadline")...)
	}
	if pol.Patience.Duration > pol.Deadline.Duration {
		p.Add("must not exceed the deadline", append(path, "patience")...)
	}
	checkFraction(p, pol.LeastCoverage, append(path, "least-coverage")...)
	checkFraction(p, pol.HedgeShare, append(path, "hedge-share")...)
	checkFraction(p, pol.RetryShare, append(path, "retry-share")...)
	if pol.HedgeQuantile <= 0 || pol.HedgeQuantile >= 1 {
		p.Add("must lie between 0 and 1", append(path, "hedge-quantile")...)
	}
}

func (x Index) check(p *Problems, path ...any) {
	p.CheckName(string(x.Name), append(path, "name")...)
	p.CheckName(string(x.Team), append(path, "team")...)
	x.Policy.check(p, append(path, "policy")...)
	if len(x.Snapshots) == 0 {
		p.Add("must hold a snapshot", append(path, "snapshots")...)
	}
	var previous SnapshotID // 0 at first, so that the first id must be above 0
	for i, s := range x.Snapshots {
		itemPath := append(append([]any{}, path...), "snapshots", i)
		if s.ID <= previous {
			p.Add("ids must rise", append(itemPath, "id")...)
		}
		previous = s.ID
		s.check(p, itemPath...)
	}
}

func (s Snapshot) check(p *Problems, path ...any) {
	if len(s.Shards) == 0 || len(s.Shards) > MaxShards {
		p.Add("must hold 1 to 20000 shards", append(path, "shards")...)
	}
	seen := map[ShardName]bool{}
	for i, shard := range s.Shards {
		itemPath := append(append([]any{}, path...), "shards", i)
		p.CheckName(string(shard.Name), append(itemPath, "name")...)
		p.CheckName(string(shard.Service), append(itemPath, "service")...)
		if seen[shard.Name] {
			p.Add("is the name of two shards", append(itemPath, "name")...)
		}
		seen[shard.Name] = true
	}
}

package checker_test

import (
	"slices"
	"testing"
	"time"

	"damsontiller/internal/kit/checker"
	"damsontiller/internal/kit/client"
	"damsontiller/internal/kit/runner"
	"damsontiller/internal/proto/spec"
	"damsontiller/internal/transport/code"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// clean is a small case without a breach.
func clean() checker.Case {
	r := spec.Runner{Name: "a1", Zone: "a", Route: "assets"}
	m := spec.Runner{Name: "m1", Zone: "a", Route: "model"}
	c := checker.Case{
		Spec: &spec.Spec{
			Zones:   []string{"a", "b"},
			Routes:  []spec.Route{{Name: "model", Model: true}, {Name: "assets"}},
			Runners: []spec.Runner{r, m},
			Budgets: []spec.Budget{{Programs: "*", Output: 100}},
		},
		Most: 50,
	}
	for i := range 40 {
		w := string(rune('A'+i%26)) + string(rune('0'+i/26))
		c.Asks = append(
			c.Asks,
			client.Ask{
				Program: "p/1",
				Work:    w,
				Key:     w,
				Route:   "assets",
				Edge:    "e1",
				Sent:    at(i * 1000),
				Done:    at(i*1000 + 50),
				Wait:    5 * time.Second,
				Status:  200,
				Job:     "j" + w,
			},
		)
		c.Runs = append(
			c.Runs,
			checker.Run{
				Runner: r,
				Entry: runner.Entry{
					Job:      "j" + w,
					Work:     w,
					Program:  "p/1",
					Arrived:  at(i*1000 + 10),
					Ran:      true,
					Answered: at(i*1000 + 40),
				},
			},
		)
	}
	c.Runs = append(
		c.Runs,
		checker.Run{
			Runner: m,
			Entry: runner.Entry{
				Job:      "jm",
				Work:     "mm",
				Program:  "p/1",
				Arrived:  at(5),
				Ran:      true,
				Output:   100,
				Answered: at(20),
			},
		},
	)
	return c
}

// exchangedRefusal adds a refusal by one runner of a call that was sent to another's address.
func exchangedRefusal(c *checker.Case, by, calledAt int) {
	c.Spec.Runners[0].Addr, c.Spec.Runners[1].Addr = "127.0.0.1:1", "127.0.0.1:2"
	c.Runs = append(c.Runs, checker.Run{
		Runner: c.Spec.Runners[by],
		Entry: runner.Entry{
			Job:      "j9",
			Work:     "w9",
			Addr:     c.Spec.Runners[calledAt].Addr,
			Arrived:  at(4100),
			Refused:  true,
			Wait:     time.Second,
			Answered: at(4110),
		},
	})
}

// TestEachBreach feeds the judge one breach of each kind and sees it caught,
// and nothing else with it.
func TestEachBreach(t *testing.T) {
	cases := []struct {
		row  checker.Row
		what string
		do   func(*checker.Case)
	}{
		{checker.Twice, "keyed work ran on two runners", func(c *checker.Case) {
			c.Runs = append(
				c.Runs,
				checker.Run{
					Runner: c.Spec.Runners[0],
					Entry:  runner.Entry{Job: "other", Work: "A0", Arrived: at(100), Ran: true},
				},
			)
		}},
		{checker.NotRun, "told not run, by job", func(c *checker.Case) {
			c.Asks[3].Key, c.Asks[3].Status, c.Asks[3].Ran = "", 503, "no"
		}},
		{checker.NotRun, "told not run, by key, and run under another job", func(c *checker.Case) {
			c.Asks[3].Status, c.Asks[3].Ran, c.Asks[3].Job = 503, "no", "jx"
		}},
		{checker.NotRun, "told not run though an earlier ask for the key was lost and ran", func(c *checker.Case) {
			again := c.Asks[3]
			c.Asks[3].Lost, c.Asks[3].Status, c.Asks[3].Job = true, 0, ""
			again.Sent, again.Done, again.Status, again.Ran, again.Job = at(3100), at(3110), 429, "no", "jy"
			c.Asks = append(c.Asks, again)
		}},
		{checker.NotRun, "told not run, and run later with nobody asking again", func(c *checker.Case) {
			c.Asks[3].Status, c.Asks[3].Ran, c.Asks[3].Job = 503, "no", "jx"
			c.Runs[3].Arrived, c.Runs[3].Answered = at(3500), at(3520)
		}},
		{
			checker.Forgot,
			"history not given",
			func(c *checker.Case) { c.Asks[1].Turn, c.Asks[1].Forgot = true, true },
		},
		{checker.Forgot, "told that a kept turn is unknown", func(c *checker.Case) {
			c.Asks[1].Follows, c.Asks[1].Code, c.Asks[1].Status, c.Asks[1].Ran, c.Asks[1].Job = true, int(
				code.NoTurn,
			), 404, "", "none"
		}},
		{checker.Budget, "more than a turn over", func(c *checker.Case) {
			c.Runs = append(
				c.Runs,
				checker.Run{
					Runner: c.Spec.Runners[1],
					Entry: runner.Entry{
						Job:     "j9",
						Work:    "w9",
						Program: "p/1",
						Arrived: at(30),
						Ran:     true,
						Output:  51,
					},
				},
			)
		}},
		{checker.Incomplete, "another's answer", func(c *checker.Case) { c.Asks[2].Wrong = "work:other" }},
		{checker.Draining, "work after 3 s", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(36500), Kind: checker.Drained, ID: "a1"})
			c.Runs = c.Runs[:40] // the last arrives at 39010
			c.Runs[39].Arrived = at(39600)
		}},
		{checker.Emptied, "work after 5 s", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(33500), Kind: checker.Empty, ID: "a"})
		}},
		{checker.Spec, "not in force after 2 s", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(1000), Kind: checker.Acked, Ver: 7})
			c.Samples = append(c.Samples, checker.Sample{At: at(3100), ID: "e1", Ver: 6})
		}},
		{checker.Spec, "slipped back", func(c *checker.Case) {
			c.Samples = append(
				c.Samples,
				checker.Sample{At: at(100), ID: "e1", Ver: 7},
				checker.Sample{At: at(200), ID: "e1", Ver: 6},
			)
		}},
		{checker.Spec, "missing at the end", func(c *checker.Case) {
			c.Events = append(
				c.Events,
				checker.Event{At: at(1000), Kind: checker.Acked, Ver: 7},
				checker.Event{At: at(9000), Kind: checker.FinalRead, Ver: 6},
			)
		}},
		{
			checker.WarmingUp,
			"more than it bears while coming up",
			func(c *checker.Case) { c.Runs[5].WarmingUp, c.Runs[5].Over = true, true },
		},
		{checker.Planned, "taken and never answered", func(c *checker.Case) {
			c.Events = append(
				c.Events,
				checker.Event{At: at(1990), Kind: checker.Stopping, ID: "e1"},
				checker.Event{At: at(2900), Kind: checker.Stopped, ID: "e1"},
			)
			c.Asks[2].Lost, c.Asks[2].Status = true, 0
		}},
		{checker.Planned, "told to go elsewhere too late", func(c *checker.Case) {
			c.Events = append(
				c.Events,
				checker.Event{At: at(1990), Kind: checker.Stopping, ID: "e1"},
				checker.Event{At: at(2900), Kind: checker.Stopped, ID: "e1"},
			)
			c.Asks[2].Code, c.Asks[2].Status, c.Asks[2].Done = int(code.Stopping), 503, at(2600)
		}},
		{checker.Early, "called within another's wait", func(c *checker.Case) {
			c.Runs = append(
				c.Runs,
				checker.Run{
					Runner: c.Spec.Runners[0],
					Entry: runner.Entry{
						Job:      "j9",
						Work:     "w9",
						Arrived:  at(4100),
						Refused:  true,
						Wait:     time.Second,
						Answered: at(4110),
					},
				},
			)
		}},
		{0, "the refusal was of a call meant for another, which had this one's address before", func(c *checker.Case) {
			exchangedRefusal(c, 0, 1)
		}},
		{checker.Early, "called within a wait of its address, where another answered", func(c *checker.Case) {
			exchangedRefusal(c, 1, 0)
		}},
		{checker.Early, "left sleeping", func(c *checker.Case) {
			c.Runs = append(
				c.Runs[:10:10],
				checker.Run{
					Runner: c.Spec.Runners[0],
					Entry: runner.Entry{
						Job:      "j9",
						Work:     "w9",
						Arrived:  at(38000),
						Refused:  true,
						Wait:     30 * time.Second,
						Answered: at(38000),
					},
				},
			)
			c.Asks[39].Status, c.Asks[39].Ran, c.Asks[39].Done = 429, "no", at(43000)
		}},
		{
			checker.Early,
			"called within the schedule's wait, which is longer than the runner named",
			func(c *checker.Case) {
				c.Runs = append(
					c.Runs,
					checker.Run{
						Runner: c.Spec.Runners[0],
						Entry: runner.Entry{
							Job:      "j9",
							Work:     "w9",
							Arrived:  at(38100),
							Refused:  true,
							Answered: at(38110),
						},
					},
				)
			},
		},
		{checker.Early, "called within the wait that a caller was told of", func(c *checker.Case) {
			c.Asks = append(
				c.Asks,
				client.Ask{
					Program:        "p/2",
					Work:           "w9",
					Key:            "w9",
					Route:          "assets",
					Edge:           "e2",
					Sent:           at(38100),
					Done:           at(38110),
					Wait:           5 * time.Second,
					Status:         429,
					Code:           int(code.Cooling),
					BodyRetryAfter: 8 * time.Second,
				},
			)
		}},
		{
			checker.Early,
			"told more than the refusal installed, no store restarted",
			func(c *checker.Case) { longerWait(c, 29985) },
		},
		{0, "told more than the refusal installed, by a restarted store", func(c *checker.Case) {
			longerWait(c, 2985)
			c.Events = append(
				c.Events,
				checker.Event{At: at(4500), Kind: checker.Hard, ID: checker.StoreKilled + "1"},
			)
		}},
		{checker.Early, "told more than the refusal installed, a store restarted before it", func(c *checker.Case) {
			longerWait(c, 29985)
			c.Events = append(
				c.Events,
				checker.Event{At: at(4500), Kind: checker.Hard, ID: checker.StoreKilled + "1"},
			)
		}},
		{checker.Early, "left sleeping for a second of its five", func(c *checker.Case) {
			c.Runs = append(
				c.Runs[:10:10],
				checker.Run{
					Runner: c.Spec.Runners[0],
					Entry: runner.Entry{
						Job:      "j9",
						Work:     "w9",
						Arrived:  at(38000),
						Refused:  true,
						Wait:     30 * time.Second,
						Answered: at(38000),
					},
				},
			)
			c.Asks[39].Status, c.Asks[39].Done = 429, at(40000)
		}},
		{checker.Early, "a turn left sleeping", func(c *checker.Case) {
			c.Runs = append(
				c.Runs,
				checker.Run{
					Runner: c.Spec.Runners[1],
					Entry: runner.Entry{
						Job:      "j9",
						Work:     "w9",
						Arrived:  at(38000),
						Refused:  true,
						Wait:     30 * time.Second,
						Answered: at(38000),
					},
				},
			)
			c.Asks = append(
				c.Asks,
				client.Ask{
					Program: "p/2",
					Work:    "w9",
					Turn:    true,
					Route:   "model",
					Edge:    "e2",
					Sent:    at(38900),
					Done:    at(39900),
					Wait:    5 * time.Second,
					Status:  429,
					Code:    int(code.Cooling),
				},
			)
		}},
		{checker.Recovery, "good at first, collapsed 10 s later", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"})
			for i := 14; i < 18; i++ {
				c.Asks[i].Status, c.Asks[i].Lost = 0, true
			}
		}},
		{checker.Recovery, "refused as cooling with no cooldown anywhere", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"})
			for i := 5; i < 40; i++ {
				c.Asks[i].Status = 429
			}
		}},
		{checker.Recovery, "told that a whole budget is spent", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"})
			for i := 5; i < 40; i++ {
				c.Asks[i].Status = 402
			}
		}},
		{0, "lost by the second failure, long after the first", func(c *checker.Case) {
			c.Events = append(
				c.Events,
				checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"},
				checker.Event{At: at(20020), Kind: checker.Hard, ID: "everything"},
			)
			c.Asks[20].Status, c.Asks[20].Lost = 0, true
		}},
		{
			checker.Forgot,
			"not read back at the end",
			func(c *checker.Case) { c.Audit = checker.Verdict{checker.Forgot: {"a turn"}} },
		},
		{checker.Urgent, "over half a second with nothing to explain it", func(c *checker.Case) {
			c.Asks[3].Urgent, c.Asks[3].Done = true, at(3600)
		}},
		{checker.Excused, "over half a second in the second step of a cooldown", func(c *checker.Case) {
			for i, ms := range []int{3010, 4100} {
				c.Runs = append(
					c.Runs,
					checker.Run{
						Runner: c.Spec.Runners[0],
						Entry: runner.Entry{
							Job:      "j",
							Work:     "w9",
							Arrived:  at(ms - 5),
							Refused:  true,
							Wait:     time.Second,
							Answered: at(ms + i),
						},
					},
				)
			}
			// The second refusal's wait is two seconds, though the runner named one.
			c.Runs = slices.DeleteFunc(
				c.Runs,
				func(r checker.Run) bool { return r.Work == "E0" || r.Work == "F0" || r.Work == "G0" },
			)
			c.Asks[5].Urgent, c.Asks[5].Sent, c.Asks[5].Done = true, at(5300), at(6150)
		}},
		{checker.Excused, "over half a second at a frozen edge", func(c *checker.Case) {
			c.Asks[3].Urgent, c.Asks[3].Done = true, at(3600)
			c.Events = append(
				c.Events,
				checker.Event{At: at(2900), Kind: checker.Frozen, ID: "e1"},
				checker.Event{At: at(3550), Kind: checker.Thawed, ID: "e1"},
			)
		}},
		{checker.Recovery, "back only after 13 s", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"})
			for i := 5; i < 18; i++ {
				c.Asks[i].Status, c.Asks[i].Lost = 0, true
			}
		}},
		{checker.Recovery, "never back", func(c *checker.Case) {
			c.Events = append(c.Events, checker.Event{At: at(4500), Kind: checker.Hard, ID: "kill"})
			for i := 5; i < 40; i++ {
				c.Asks[i].Status, c.Asks[i].Lost = 0, true
			}
		}},
	}
	if v := checker.Judge(clean()); len(v) != 0 {
		t.Fatalf("the clean case has breaches:\n%s", v)
	}
	seen := map[checker.Row]bool{}
	for _, tc := range cases {
		c := clean()
		tc.do(&c)
		v := checker.Judge(c)
		if tc.row == 0 && len(v) == 0 {
			continue // no breach, though it checks like one
		}
		if len(v[tc.row]) == 0 || len(v) != 1 {
			t.Errorf("%s: want only line %d (%s):\n%s", tc.what, tc.row, checker.Names[tc.row], v)
		}
		seen[tc.row] = true
	}
	for l := checker.Twice; l <= checker.Excused; l++ {
		if !seen[l] {
			t.Errorf("line %d (%s) has no breach to catch", l, checker.Names[l])
		}
	}
}

// longerWait is a refusal at a time, in milliseconds, that installs a second, and a
// caller who is answered eight of it at 38 s.
func longerWait(c *checker.Case, refused int) {
	c.Runs = append(
		c.Runs,
		checker.Run{
			Runner: c.Spec.Runners[0],
			Entry: runner.Entry{
				Job:      "j9",
				Work:     "w9",
				Arrived:  at(refused - 5),
				Refused:  true,
				Wait:     time.Second,
				Answered: at(refused),
			},
		},
	)
	c.Asks = append(
		c.Asks,
		client.Ask{
			Program:        "p/2",
			Work:           "w8",
			Key:            "w8",
			Route:          "assets",
			Edge:           "e2",
			Sent:           at(38100),
			Done:           at(38110),
			Wait:           5 * time.Second,
			Status:         429,
			Code:           int(code.Cooling),
			BodyRetryAfter: 8 * time.Second,
		},
	)
	c.Asks = append(
		c.Asks,
		client.Ask{
			Program: "p/2",
			Work:    "w8",
			Key:     "w8",
			Route:   "assets",
			Edge:    "e2",
			Sent:    at(39200),
			Done:    at(39250),
			Wait:    5 * time.Second,
			Status:  200,
			Job:     "j8",
		},
	)
}

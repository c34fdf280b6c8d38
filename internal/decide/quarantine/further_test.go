package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var furtherStart = time.Unix(1_700_000_000, 0)

// prompt returns n parts with a prefix, and the ID of a request.
func prompt(prefix string, n int, id string) (parts []Part) {
	for i := range n {
		parts = append(parts, Part(fmt.Sprintf("%s%x", prefix, i)))
	}
	return append(parts, Part(id))
}

// crashUnder records a crash under prompts, a number of seconds after the start.
func crashUnder(q *Quarantine, second int, prompts ...[]Part) {
	c := Crash{Incarnation: Incarnation{Target: fmt.Sprint("t", second)}, At: furtherStart.Add(time.Duration(second) * time.Second)}
	for _, p := range prompts {
		c.Suspects = append(c.Suspects, Suspect{Parts: p, SentAt: c.At.Add(-100 * time.Millisecond)})
	}
	q.RecordCrash(c.At, c)
}

func quarantinedParts(q *Quarantine, second int) (parts []Part) {
	q.Tick(furtherStart.Add(time.Duration(second)*time.Second + 2*settleTime))
	for _, v := range q.Verdicts() {
		parts = append(parts, v.Part)
	}
	return parts
}

// Guards against a crashing part that is not found because of its place in the prompt
// (review/10), and against sound ones that are quarantined with it: those that always come with
// it are in prompts that engines answer, too.
func TestCrashingPartIsFoundWhereverItIs(t *testing.T) {
	for _, length := range []int{8, 9, 10, 40, 300, 1200} {
		for _, place := range []int{0, 6, 7, 8, length / 2, length - 2} {
			if place > length-2 {
				continue
			}
			q := New(Config{})
			for n := range 4 {
				// Prompts of different lengths hold the part at different places.
				own := fmt.Sprint("r", n)
				p := prompt("a", length-1+n, own)
				p[place] = "bad"
				crashUnder(q, 3*n, p, prompt("a", length-1, fmt.Sprint("sound", n)))
				now := furtherStart.Add(time.Duration(3*n+1) * time.Second)
				q.RecordBegan(now, now, prompt("a", length+4, "served"))
			}
			if got := quarantinedParts(q, 9); !slices.Equal(got, []Part{"bad"}) {
				t.Errorf("part %d of %d: quarantined are %v", place, length, got)
			}
			if part, blocked := q.Check(furtherStart.Add(20*time.Second), append([]Part{"x"}, "bad", "own")); !blocked || part != "bad" {
				t.Errorf("part %d of %d: a request with it is not refused", place, length)
			}
		}
	}
}

// Guards against one of two crashing parts that hides the other.
func TestTwoCrashingPartsFarBack(t *testing.T) {
	q := New(Config{})
	for n := range 12 {
		p := prompt("a", 400, fmt.Sprint("r", n))
		p[300-n%2*150] = Part(fmt.Sprint("bad", n%2))
		crashUnder(q, 2*n, p)
		now := furtherStart.Add(time.Duration(2*n+1) * time.Second)
		q.RecordBegan(now, now, prompt("a", 402, "served"))
	}
	if got := quarantinedParts(q, 24); !slices.Equal(got, []Part{"bad0", "bad1"}) {
		t.Errorf("quarantined are %v", got)
	}
}

// Guards against memory that grows with what clients send, and against a crashing part that is
// lost in it.
func TestFurtherPartsAreBounded(t *testing.T) {
	q := New(Config{})
	for n := range 60 {
		var prompts [][]Part
		for s := range 32 {
			prompts = append(prompts, prompt(fmt.Sprintf("%x-%x-", n, s), 2400, fmt.Sprint("r", n, "-", s)))
		}
		prompts[n%32][1000] = "bad"
		crashUnder(q, n, prompts...)
		total := 0
		for _, r := range q.evidence.records {
			total += r.furtherCount()
		}
		if total > maxFurtherParts {
			t.Fatalf("%d further parts after %d crashes", total, n+1)
		}
	}
	if q.TakeDropped() == 0 {
		t.Error("nothing says that parts were dropped")
	}
	checkExplainedRecords(t)
	// Junk may hide the part for a while, but not short prompts.
	short := New(Config{})
	for n := range 4 {
		var prompts [][]Part
		for s := range 31 {
			prompts = append(prompts, prompt(fmt.Sprintf("%x-%x-", n, s), 2400, fmt.Sprint("r", n, "-", s)))
		}
		crashUnder(short, n, append(prompts, []Part{"bad", Part(fmt.Sprint("c", n)), Part(fmt.Sprint("own", n))})...)
	}
	if got := quarantinedParts(short, 4); !slices.Equal(got, []Part{"bad"}) {
		t.Errorf("quarantined are %v", got)
	}
}

// checkExplainedRecords guards against a crash that counts against sound parts once the quarantined
// part that explains it is dropped.
func checkExplainedRecords(t *testing.T) {
	q := New(Config{})
	for n := range 4 {
		p := prompt("a", 40, fmt.Sprint("r", n))
		p[30] = "bad"
		crashUnder(q, 3*n, p)
		now := furtherStart.Add(time.Duration(3*n+1) * time.Second)
		q.RecordBegan(now, now, prompt("a", 40, "served"))
	}
	if got := quarantinedParts(q, 9); !slices.Equal(got, []Part{"bad"}) {
		t.Fatalf("quarantined are %v", got)
	}
	for n := range 20 {
		// These share their parts, so that they are not the first ones to go. Crashes under one
		// request count once, so that there is no verdict.
		crashUnder(q, 12+n, prompt("z", 2400, "j"))
	}
	if n := len(q.Explained()); n != 4 {
		t.Errorf("%d of 4 crashes are explained after others have driven out their parts", n)
	}
}

// Guards against long prompts that drive out the begins of others.
func TestBeginsOfLongPromptsAreBounded(t *testing.T) {
	q := New(Config{})
	for n := range 100 {
		now := furtherStart.Add(time.Duration(n) * time.Millisecond)
		q.RecordBegan(now, now, prompt(fmt.Sprintf("%x-", n), 2400, "own"))
	}
	if n := len(q.evidence.begins.newer) + len(q.evidence.begins.older); n > 100*LeadingParts {
		t.Errorf("%d begins are kept of 100 prompts", n)
	}
	// Once a crash holds parts, their begins count.
	crashUnder(q, 1, prompt("a", 500, "r1"))
	crashUnder(q, 2, prompt("a", 500, "r2"))
	now := furtherStart.Add(3 * time.Second)
	told, _ := q.RecordBegan(now, now, prompt("a", 500, "own"))
	if runs := q.TakeRuns(); len(told) != LeadingParts || len(runs) != 1 || runs[0].Runs != "7-499" {
		t.Errorf("told are the begins of %v, and of %v", told, runs)
	}
	if !q.evidence.begins.get("a1f0").at.Equal(now) {
		t.Error("the begin of a suspected part is not kept")
	}
}

// TestBegunRunsReachOtherEntries guards against a sound part that is quarantined by an entry which
// does not serve it, whatever arrives first: the begin, or the part.
func TestBegunRunsReachOtherEntries(t *testing.T) {
	for _, beginFirst := range []bool{true, false} {
		here, there := New(Config{Entry: "here"}), New(Config{Entry: "there"})
		for n := range 3 {
			p := prompt("a", 300, fmt.Sprint("r", n))
			p[100] = "bad"
			crashUnder(here, 3*n, p)
			now := furtherStart.Add(time.Duration(3*n)*time.Second + 100*time.Millisecond)
			crash := here.Crashes(now)[n]
			base := crash
			base.Suspects = []Suspect{crash.Suspects[0].Leading()}
			there.RecordCrash(now, base)
			begunAt := now.Add(500 * time.Millisecond)
			here.RecordBegan(begunAt, begunAt, prompt("a", 300, "served"))
			runs := here.TakeRuns()
			if len(runs) != 1 || runs[0].Runs != "7-99,101-299" {
				t.Fatalf("runs %v", runs)
			}
			arrived := begunAt.Add(50 * time.Millisecond)
			if beginFirst {
				there.MergeRuns(arrived, runs)
				there.RecordCrash(arrived, crash)
			} else {
				there.RecordCrash(arrived, crash)
				there.MergeRuns(arrived, runs)
			}
			there.Tick(arrived.Add(time.Second))
		}
		if got := quarantinedParts(there, 9); !slices.Equal(got, []Part{"bad"}) {
			t.Errorf("begin first %v: quarantined are %v", beginFirst, got)
		}
	}
}

// TestCondensedRecordsDecideAlike guards against another decision because of parts that are left
// out for their number.
func TestCondensedRecordsDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Map(rapid.IntRange(0, 40), func(n int) Part { return Part(fmt.Sprint("p", n)) })
		var records []*Crash
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			r := &Crash{Incarnation: Incarnation{Target: fmt.Sprint(i)}, At: furtherStart.Add(time.Duration(i) * time.Second)}
			var suspects []Suspect
			for s := range rapid.IntRange(0, 3).Draw(t, "suspects") {
				list := rapid.SliceOfN(part, 1, 24).Draw(t, "parts")
				// Some parts always come together.
				if rapid.Bool().Draw(t, "group") {
					list = append(list, "g1", "g2", "g3", "bad")
				}
				suspects = append(suspects, Suspect{Parts: append(list, Part(fmt.Sprint("r", i, "-", s))), SentAt: r.At})
			}
			r.addSuspects(suspects, 32)
			records = append(records, r)
		}
		begins := rapid.MapOfN(part, rapid.IntRange(-1, 8), 0, 10).Draw(t, "begins")
		begunAt := func(p Part) time.Time {
			if s, ok := begins[p]; ok {
				return furtherStart.Add(time.Duration(s)*time.Second + time.Second/2)
			}
			return time.Time{}
		}
		quarantined := part.Draw(t, "quarantined")
		keep := func(p Part) bool { return p == quarantined }
		condensed := condense(records, begunAt, keep)(records)
		want, wantOK := mostSuspectPart(records, begunAt)
		got, gotOK := mostSuspectPart(condensed, begunAt)
		if wantOK != gotOK || want.part != got.part || want.crashes != got.crashes {
			t.Fatalf("%v (%v) instead of %v (%v)", got.part, gotOK, want.part, wantOK)
		}
		want, wantOK = coveringPart(records, records, begunAt, keep)
		got, gotOK = coveringPart(condensed, condensed, begunAt, keep)
		if wantOK != gotOK || want.part != got.part {
			t.Fatalf("covering: %v (%v) instead of %v (%v)", got.part, gotOK, want.part, wantOK)
		}
	})
}

// TestFurtherPartsArriveInPieces guards against parts that get another place, or are lost, on
// their way to another entry.
func TestFurtherPartsArriveInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(LeadingParts+1, 200).Draw(t, "parts")
		whole := Crash{Incarnation: Incarnation{Target: "t"}}
		whole.addSuspects([]Suspect{{Parts: prompt("a", n, "r"), SentAt: furtherStart}}, 32)
		got := Crash{Incarnation: Incarnation{Target: "t"}}
		rest := whole.Suspects[0].Further
		order := rapid.Permutation(rest).Draw(t, "order")
		for len(order) > 0 {
			k := rapid.IntRange(1, len(order)).Draw(t, "piece")
			piece := slices.Clone(order[:k])
			slices.SortFunc(piece, func(x, y FurtherPart) int { return x.Position - y.Position })
			got.addSuspects([]Suspect{{Parts: whole.Suspects[0].Parts, Further: ParseFurther(FormatFurther(piece)), SentAt: furtherStart}}, 32)
			order = order[k:]
		}
		if fmt.Sprint(got.Suspects) != fmt.Sprint(whole.Suspects) {
			t.Fatalf("%v instead of %v", got.Suspects, whole.Suspects)
		}
	})
}

// TestRunsOfPositions guards against begins of other parts than those that began.
func TestRunsOfPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		positions := rapid.SliceOfNDistinct(rapid.IntRange(LeadingParts, 200), 0, 150, rapid.ID[int]).Draw(t, "positions")
		slices.Sort(positions)
		var got []int
		for _, text := range formatRuns(positions) {
			for _, r := range parseRuns(text, furtherStart) {
				for p := r.first; p <= r.last; p++ {
					got = append(got, p)
				}
			}
		}
		if !slices.Equal(got, positions) {
			t.Fatalf("%v instead of %v", got, positions)
		}
	})
	if got := parseRuns("3,a-b,9-8,7-99999999999999999999,-1,20", furtherStart); len(got) != 1 || got[0].first != 20 {
		t.Errorf("malformed runs give %v", got)
	}
}

// Guards against a message that is read as something else than it says, or ends the process.
func FuzzParseFurther(f *testing.F) {
	f.Add("7:a,b;10:c")
	f.Add("-1:a;99999999999999999999:b;7;8:,;9:" + string(make([]byte, 40)))
	f.Fuzz(func(t *testing.T, text string) {
		for _, p := range ParseFurther(text) {
			if p.Position < LeadingParts || !validPart(p.Part) {
				t.Fatalf("%v of %q", p, text)
			}
		}
	})
}

func BenchmarkEvaluateLongPrompts(b *testing.B) {
	for _, parts := range []int{3, 40, 1200} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			q := New(Config{})
			for n := range 24 {
				// Crashes under one request count once, so that there is no verdict.
				crashUnder(q, n, prompt("a", parts-1, "r"))
			}
			at := furtherStart.Add(24*time.Second + settleTime)
			for b.Loop() {
				q.evaluate(at)
			}
		})
	}
}

func BenchmarkCheckLongPrompts(b *testing.B) {
	for _, parts := range []int{3, 40, 1200, 2400} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			q := New(Config{})
			q.Merge(furtherStart, []Verdict{{Part: "bad", Generation: 1, Quarantined: true, Since: furtherStart}})
			p := prompt("a", parts-1, "own")
			for b.Loop() {
				q.Check(furtherStart, p)
			}
		})
	}
}

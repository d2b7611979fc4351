package suspect

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

type partStep struct {
	At               float64
	VM               int
	Parts            []string
	Crash            lagoonhead.EndpointID
	Finish           bool
	Refused, Allowed bool
}

type partCase struct {
	Name   string
	Probes bool
	Steps  []partStep
}

func crashedEngine(id lagoonhead.EndpointID) lagoonhead.Endpoint {
	return lagoonhead.NewEndpoint(id, lagoonhead.EndpointKindEngine, "s", "a:1", "x")
}

// partPeers returns the trackers of two VMs with one clock.
func partPeers() (*timer.Manual, [2]*Parts) {
	clock := timer.NewManual(time.Hour, time.Unix(0, 0))
	return clock, [2]*Parts{{Timer: clock}, {Timer: clock}}
}

// Guards against a part that goes on crashing engines, and against sound requests refused for
// the parts that they share with it.
func TestRefusedParts(t *testing.T) {
	raw, err := os.ReadFile("testdata/parts.yaml")
	require.NoError(t, err)
	var cases []partCase
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			clock, vms := partPeers()
			vms[0].Probes = func(uint64) bool { return c.Probes }
			start := clock.Now()
			for i, s := range c.Steps {
				clock.Advance(start + time.Duration(s.At*float64(time.Second)) - clock.Now())
				v := vms[s.VM]
				switch {
				case s.Crash != "":
					v.Crashed(s.Parts, crashedEngine(s.Crash))
				case s.Finish:
					v.Finished(s.Parts)
				default:
					require.NotEqual(t, s.Refused, s.Allowed, "step %d", i)
					id := lagoonhead.RequestID(fmt.Sprint("r", i))
					err := v.Check(id, s.Parts)
					require.Equal(t, s.Refused, err != nil, "step %d: %v", i, err)
					if err == nil {
						require.NoError(t, v.Check(id, s.Parts), "it is checked before each send")
					} else {
						require.ErrorIs(t, err, ErrPartRefused)
						require.Positive(t, err.(lagoonhead.RetryAfterer).RetryAfter())
					}
				}
				vms[1].Merge(vms[0].Notices())
				vms[0].Merge(vms[1].Notices())
			}
		})
	}
}

// Guards against a table that grows with the parts that callers make up, and against the loss
// of a part that is refused when it is full.
func TestPartsAreBounded(t *testing.T) {
	clock, vms := partPeers()
	p := vms[0]
	p.MaxEntries = 8
	for i := range 3 {
		p.Crashed([]string{"bad"}, crashedEngine(lagoonhead.EndpointID(fmt.Sprint("e", i))))
		clock.Advance(time.Second)
	}
	for i := range 100 {
		var parts []string
		for k := range 2 * maxPartsPerPrompt {
			parts = append(parts, fmt.Sprint(i, "-", k))
		}
		p.Crashed(parts, crashedEngine("other"))
	}
	require.LessOrEqual(t, len(p.entries), 8)
	require.LessOrEqual(t, len(p.Notices()), maxNotices)
	require.Error(t, p.Check("r", []string{"bad"}))
}

// Guards against a cause that is not found, or sound parts that stay refused, whatever the
// order in which VMs see crashes and answers: one part of each crash is always the same.
func TestTheCauseIsFoundAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, vms := partPeers()
		part := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for i := range rapid.IntRange(6, 20).Draw(t, "crashes") {
			clock.Advance(time.Duration(rapid.IntRange(60, 800).Draw(t, "pause")) * time.Millisecond)
			e := crashedEngine(lagoonhead.EndpointID(fmt.Sprint("e", i)))
			vm := rapid.IntRange(0, 1)
			vms[vm.Draw(t, "vm")].Crashed([]string{part.Draw(t, "other"), "bad"}, e)
			for range rapid.IntRange(0, 3).Draw(t, "beside") {
				vms[vm.Draw(t, "vm")].Crashed([]string{part.Draw(t, "part"), part.Draw(t, "part")}, e)
			}
			for range rapid.IntRange(0, 2).Draw(t, "finished") {
				vms[vm.Draw(t, "vm")].Finished([]string{part.Draw(t, "part")})
			}
			vms[1].Merge(vms[0].Notices())
			vms[0].Merge(vms[1].Notices())
		}
		for _, v := range vms {
			require.Error(t, v.Check("r", []string{"a", "b", "c", "d", "bad"}), "the cause is among the parts")
			for _, p := range []string{"a", "b", "c", "d"} {
				require.NoError(t, v.Check("r", []string{p}), "part %s is sound", p)
			}
		}
	})
}

package order_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeplatform"
	"github.com/lagoonhead/lagoonhead/order"
	"github.com/lagoonhead/lagoonhead/timer"
)

// tenure is an authority whose Check never fails, like that of a holder that has not
// noticed that it lost the duty. Its value is the epoch.
type tenure int64

func (e tenure) Epoch() int64 { return int64(e) }
func (tenure) Check() error   { return nil }

// holders returns the ledgers of two consecutive holders with a shared store.
func holders() (former, next *order.Ledger) {
	kv := fakeplatform.NewKV(timer.NewManual(time.Hour, time.Unix(0, 0)))
	former = &order.Ledger{Store: kv, Authority: tenure(1), Writer: "former"}
	return former, &order.Ledger{Store: kv, Authority: tenure(2), Writer: "next"}
}

// Guards against a former holder that can write a record after the next holder has
// adopted it, by AdoptOpen or by recording the same order.
func TestFormerHolderCannotWrite(t *testing.T) {
	ctx := context.Background()
	content := []byte(`{"total":3}`)
	for name, adopt := range map[string]func(*order.Ledger) error{
		"list": func(l *order.Ledger) error {
			open, err := l.AdoptOpen(ctx, "")
			require.Len(t, open, 1)
			return err
		},
		"same order": func(l *order.Ledger) error {
			_, err := l.Record(ctx, "x", content)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			former, next := holders()
			r, err := former.Record(ctx, "x", content)
			require.NoError(t, err)
			require.NoError(t, adopt(next))
			_, err = former.Settle(ctx, r, order.Confirmed)
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindConflict), "settle: %v", err)
			_, err = former.Record(ctx, "x", content)
			require.True(t, lagoonhead.IsKind(err, lagoonhead.KindStale), "record: %v", err)
		})
	}
}

// Guards against recording a different order for a target while the previous order may
// still take effect.
func TestOpenOrderBlocksADifferentOne(t *testing.T) {
	ctx := context.Background()
	former, next := holders()
	r, err := former.Record(ctx, "x", []byte(`{"total":3}`))
	require.NoError(t, err)
	for _, l := range []*order.Ledger{former, next} {
		_, err = l.Record(ctx, "x", []byte(`{"total":5}`))
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindConflict), "%v", err)
	}
	_, err = former.Settle(ctx, r, order.Confirmed)
	require.NoError(t, err)
	other, err := next.Record(ctx, "x", []byte(`{"total":5}`))
	require.NoError(t, err)
	require.Greater(t, other.Sequence(), r.Sequence())
}

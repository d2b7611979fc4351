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

// tenure is an authority that never ends, as a holder that has not noticed its
// loss sees it.
type tenure int64

func (e tenure) Epoch() int64 { return int64(e) }
func (tenure) Check() error   { return nil }

// holders returns the ledgers of two holders in a row over one store.
func holders() (former, next *order.Ledger) {
	kv := fakeplatform.NewKV(timer.NewManual(time.Hour, time.Unix(0, 0)))
	former = &order.Ledger{Store: kv, Authority: tenure(1), Writer: "former"}
	return former, &order.Ledger{Store: kv, Authority: tenure(2), Writer: "next"}
}

// Guards against a former holder that still writes a record after the next one has
// taken it over, by its list of open records or by the same order.
func TestFormerHolderCannotWrite(t *testing.T) {
	ctx := context.Background()
	content := []byte(`{"total":3}`)
	for name, adopt := range map[string]func(*order.Ledger) error{
		"list": func(l *order.Ledger) error {
			open, err := l.Open(ctx, "")
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

// Guards against a different order for a target whose former order may still take
// effect.
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

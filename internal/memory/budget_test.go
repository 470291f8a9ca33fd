package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
)

const mebi Bytes = 1 << 20

// fixture is a budget with a clock of its own.
type fixture struct {
	*Budget
	clock time.Time
	// interrupted are the accounts that were evicted, in order.
	interrupted []*Account
}

func newFixture(limit Bytes) *fixture { return newFixtureOf(limit, 0) }

func newFixtureOf(limit Bytes, maxOpen int) *fixture {
	f := &fixture{clock: time.Unix(1000, 0)}
	f.Budget = newBudget(limit, maxOpen, func() time.Time { return f.clock })
	return f
}

// open opens an account that takes an amount.
func (f *fixture) open(t assert.TestingT, amount Bytes) *Account {
	a, err := f.tryOpen(1)
	assert.NilError(t, err)
	assert.NilError(t, a.Take(amount-1))
	return a
}

// tryOpen opens an account that takes base.
func (f *fixture) tryOpen(base Bytes) (a *Account, err error) {
	a, err = f.Open(base, func() { f.interrupted = append(f.interrupted, a) })
	return a, err
}

func isFull(err error) bool { return fault.IsCode(err, fault.CodeOverloaded) }

// Large requests share a part of the budget, so that smaller ones find room.
func TestLargeRequestsKeepOutSmallOnes(t *testing.T) {
	f := newFixture(100 * mebi)
	for range 12 {
		f.open(t, 4*mebi)
	}
	large, err := f.Open(1, func() {})
	assert.NilError(t, err)
	assert.Assert(t, isFull(large.Expect(4*mebi)))
	medium := f.open(t, 20*smallSize/10)
	assert.NilError(t, medium.Take(mediumSize/2))
	f.open(t, smallSize)
	assert.Equal(t, len(f.interrupted), 0)
}

// The only large request may use the whole budget.
func TestLargestRequestFindsRoomAlone(t *testing.T) {
	f := newFixture(10 * mebi)
	a := f.open(t, 1)
	assert.NilError(t, a.Expect(9*mebi))
	for range 9 {
		assert.NilError(t, a.Take(mebi))
	}
	other := f.open(t, 1)
	assert.Assert(t, isFull(other.Expect(mebi)))
}

// Where there is no room, accounts that stopped receiving are evicted, the largest first, and those that go on are
// not.
func TestStalledAccountsAreEvicted(t *testing.T) {
	f := newFixture(10 * mebi)
	stalled, larger, going := f.open(t, mebi), f.open(t, 2*mebi), f.open(t, 2*mebi-1)
	newcomer := f.open(t, 1)
	assert.Assert(t, isFull(newcomer.Expect(2*mebi)))
	f.clock = f.clock.Add(stallTimeout)
	going.Received(progressSize)
	assert.NilError(t, newcomer.Expect(2*mebi))
	assert.DeepEqual(t, len(f.interrupted), 1)
	assert.Assert(t, f.interrupted[0] == larger)
	assert.Assert(t, larger.Evicted() && !stalled.Evicted() && !going.Evicted())
	assert.Assert(t, isFull(larger.Take(1)))
	assert.Assert(t, isFull(larger.Settle()))
}

// A request that is whole is never evicted.
func TestWholeRequestsAreNotEvicted(t *testing.T) {
	f := newFixture(10 * mebi)
	whole := f.open(t, 10*mebi)
	assert.NilError(t, whole.Settle())
	f.clock = f.clock.Add(time.Hour)
	_, err := f.tryOpen(1)
	assert.Assert(t, isFull(err))
	assert.Equal(t, len(f.interrupted), 0)
	whole.Release()
	f.open(t, 1)
}

// A small request needs not wait until large ones stall, but does not displace small ones that go on.
func TestSmallRequestsDisplaceLargerOnes(t *testing.T) {
	f := newFixture(10 * smallSize)
	large := f.open(t, 4*smallSize)
	var small []*Account
	for range 6 {
		small = append(small, f.open(t, smallSize))
	}
	f.open(t, smallSize)
	assert.Assert(t, large.Evicted())
	for _, a := range small {
		assert.Assert(t, !a.Evicted())
	}
}

// Beyond the number of accounts, the one that has received nothing for the longest time is evicted for a new one.
func TestTooManyAccounts(t *testing.T) {
	f := newFixtureOf(mebi, 3)
	first, whole := f.open(t, 1), f.open(t, 1)
	assert.NilError(t, whole.Settle())
	f.clock = f.clock.Add(stallTimeout / 2)
	f.open(t, 1)
	_, err := f.tryOpen(1)
	assert.Assert(t, isFull(err))
	f.clock = f.clock.Add(stallTimeout / 2)
	f.open(t, 1)
	assert.Assert(t, first.Evicted() && !whole.Evicted())
	first.Close()
	assert.Equal(t, f.Figures().Open, 3)
}

// Whatever accounts do, the books agree with what they hold, and the budget is exceeded by evicted accounts alone.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Bytes(rapid.IntRange(1, 64).Draw(t, "limit")) * mebi
		f := newFixtureOf(limit, rapid.IntRange(0, 20).Draw(t, "places"))
		var accounts []*Account
		for range 200 {
			f.clock = f.clock.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			size := Bytes(rapid.IntRange(1, int(4*mebi)).Draw(t, "size"))
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if a, err := f.Open(size%smallSize+1, func() {}); err == nil {
					accounts = append(accounts, a)
				}
				continue
			}
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				_ = a.Expect(size)
			case 1, 2, 3:
				_ = a.Take(size)
			case 4:
				a.Received(size)
			case 5:
				_ = a.Settle()
			case 6:
				a.Release()
			case 7:
				a.Close()
			}
			f.check(t, accounts)
		}
	})
}

// check compares the sums with the accounts.
func (f *fixture) check(t assert.TestingT, accounts []*Account) {
	var used, evicting Bytes
	large, listed, open := 0, 0, 0
	for _, a := range accounts {
		if a.evicted {
			evicting += a.held
		} else {
			used += a.held
		}
		if a.isLarge() {
			large++
		}
		if a.state != closed && !a.evicted {
			open++
		}
		if a.index >= 0 {
			listed++
			assert.Assert(t, f.receiving[a.index] == a)
			assert.Assert(t, a.state != busy && a.state != closed && !a.evicted)
		}
	}
	assert.Equal(t, f.used, used)
	assert.Equal(t, f.evicting, evicting)
	assert.Equal(t, f.large, large)
	assert.Equal(t, f.Budget.open, open)
	assert.Assert(t, f.maxOpen == 0 || open <= f.maxOpen)
	assert.Equal(t, len(f.receiving), listed)
	assert.Assert(t, used <= f.limit, "%d of %d", used, f.limit)
	assert.Assert(t, float64(used+evicting) <= float64(f.limit)*(1+overdraft))
}

"""What a witness remembers of holders."""

from jujubeyard.lease import timing
from jujubeyard.lease import witness

HOLDER = "vm-3/1"
OTHER = "vm-4/1"
LATER = 2 * timing.WITNESS_PROMISE_SECONDS


def test_stopped_holder_gets_no_promise_under_an_older_plan():
    made = witness.Witness(0.0)
    assert made.promise(HOLDER, 1, 0.0)
    made.stop_renewals(HOLDER, 2, 0.1)
    assert not made.promise(HOLDER, 1, LATER)
    assert made.promise(HOLDER, 2, LATER)


def test_stopped_holder_is_not_promised_again_once_forgotten():
    made = witness.Witness(0.0)
    made.promise(HOLDER, 1, 0.0)
    made.stop_renewals(HOLDER, 2, 0.1)
    made.purge({OTHER}, LATER)
    assert len(made) == 0
    assert not made.promise(HOLDER, 1, LATER)
    assert made.promise(HOLDER, 2, LATER)


def test_named_holder_and_running_promises_are_kept():
    made = witness.Witness(0.0)
    made.promise(HOLDER, 1, 0.0)
    made.promise(OTHER, 1, LATER)
    made.purge({HOLDER}, LATER)
    assert len(made) == 2

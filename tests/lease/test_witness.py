"""Tests which renewals a witness refuses, also after a purge."""

from jujubeyard.lease import timing
from jujubeyard.lease import witness

HOLDER = "vm-3/1"
OTHER = "vm-4/1"
LATER = 2 * timing.WITNESS_PROMISE_SECONDS


def test_renewals_under_older_plans_are_refused_once_stopped():
    lease_witness = witness.Witness(0.0)
    assert lease_witness.promise(HOLDER, 1, 0.0)
    lease_witness.stop_renewals(HOLDER, 2, 0.1)
    assert not lease_witness.promise(HOLDER, 1, LATER)
    assert lease_witness.promise(HOLDER, 2, LATER)


def test_renewals_of_a_purged_holder_are_still_refused():
    lease_witness = witness.Witness(0.0)
    lease_witness.promise(HOLDER, 1, 0.0)
    lease_witness.stop_renewals(HOLDER, 2, 0.1)
    lease_witness.purge({OTHER}, LATER)
    assert len(lease_witness) == 0
    assert not lease_witness.promise(HOLDER, 1, LATER)
    assert lease_witness.promise(HOLDER, 2, LATER)


def test_purge_keeps_named_holders_and_valid_promises():
    lease_witness = witness.Witness(0.0)
    lease_witness.promise(HOLDER, 1, 0.0)
    lease_witness.promise(OTHER, 1, LATER)
    lease_witness.purge({HOLDER}, LATER)
    assert len(lease_witness) == 2

"""Durations of leases, shared by holders and witnesses."""

WITNESS_PROMISE_SECONDS = 0.9
"""How long a witness keeps a promise after it received the renewal."""

HOLDER_LEASE_SECONDS = 0.85
"""How long a holder uses a promise after it sent the renewal.

Shorter than WITNESS_PROMISE_SECONDS, as the clocks of two VMs may run at
different rates.
"""

RENEWAL_INTERVAL_SECONDS = 0.25
"""Interval between the renewals of a holder."""

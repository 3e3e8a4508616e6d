"""Durations of a lease, shared by holders and witnesses."""

WITNESS_PROMISE_SECONDS = 0.9
"""How long a witness keeps a promise, counted from the receipt."""

HOLDER_LEASE_SECONDS = 0.85
"""How long a holder uses a promise, counted from the sending of the request.
The difference covers clocks that run at different rates."""

RENEWAL_INTERVAL_SECONDS = 0.25
"""How often a holder renews."""

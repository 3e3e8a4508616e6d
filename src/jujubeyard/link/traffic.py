"""Counts the bytes sent and received on the links of this process."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of link frames, without the overhead of websockets and TCP.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    sent: int = 0
    received: int = 0


total = Traffic()
"""The traffic of all links of this process."""

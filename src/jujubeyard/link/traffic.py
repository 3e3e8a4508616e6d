"""Counts the bytes that the links of this process carry."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes of frames, without those of the transport.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    sent: int = 0
    received: int = 0


total = Traffic()
"""The traffic of all links of this process."""

"""Bounds the bodies that targets hold of calls that they haven't answered."""

import collections


class SentBody:
    """The body of a call that is sent to a target.

    Attributes:
        is_admitted: Whether the target has room for it.
    """

    def __init__(
        self, counts: collections.Counter, address: str, is_admitted: bool
    ):
        self._counts = counts
        self._address = address
        self._known_bytes = 0
        self._sent_bytes = 0
        self._is_ended = False
        self.is_admitted = is_admitted

    def __enter__(self) -> "SentBody":
        return self

    def __exit__(self, *_) -> None:
        self._is_ended = True
        self._counts[self._address] -= self._known_bytes
        if not self._counts[self._address]:
            del self._counts[self._address]

    def expect(self, count: int) -> None:
        """Counts a size that is known before anything is sent."""
        self._known_bytes += count
        self._counts[self._address] += count

    def count(self, count: int) -> None:
        """Counts bytes that are sent, unless their size was known before.

        A body may still be sent for a while when its call has been answered.
        """
        if self._is_ended:
            return
        self._sent_bytes += count
        self.expect(max(0, self._sent_bytes - self._known_bytes))


class SentBytes:
    """Counts the bytes of bodies that each target holds."""

    def __init__(self, max_bytes: int):
        """Initializes the counts.

        Args:
            max_bytes: Largest size of all bodies that a target holds.
        """
        self._max_bytes = max_bytes
        self._counts = collections.Counter()

    def begin(self, address: str, known_bytes: int) -> SentBody:
        """Returns the count of a body until its call is answered.

        A body larger than the bound is only admitted alone.

        Args:
            address: Address of the target.
            known_bytes: Size of the body, as far as it is known.
        """
        held_bytes = self._counts[address]
        is_admitted = (
            not known_bytes
            or not held_bytes
            or held_bytes + known_bytes <= self._max_bytes
        )
        body = SentBody(self._counts, address, is_admitted)
        if is_admitted:
            body.expect(known_bytes)
        return body

"""A budget of extra work, earned by ordinary work."""


class Budget:
    """Allows extra sends in proportion to first sends.

    Attributes:
        spent: Extra sends so far.
    """

    def __init__(self, ratio: float, burst: float):
        """Creates a budget.

        Args:
            ratio: Extra sends earned by each first send.
            burst: Extra sends that can be saved up; also the start balance.
        """
        self.spent = 0
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def earn(self) -> None:
        """Notes a first send."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def spend(self) -> bool:
        """Returns whether an extra send is allowed, and notes it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        self.spent += 1
        return True

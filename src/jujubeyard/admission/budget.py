"""A token budget that limits retries and hedged sends."""


class Budget:
    """Allows extra sends in proportion to first sends.

    Attributes:
        spent: Number of extra sends so far.
    """

    def __init__(self, ratio: float, burst: float):
        """Creates a budget.

        Args:
            ratio: Extra sends earned by each first send.
            burst: Maximum balance of extra sends; also the initial balance.
        """
        self.spent = 0
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def earn(self) -> None:
        """Credits the budget for a first send."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def spend(self) -> bool:
        """Deducts an extra send if the balance allows it.

        Returns:
            Whether the extra send is allowed.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        self.spent += 1
        return True

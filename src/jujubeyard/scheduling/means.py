"""Means of observations, with exponentially decaying weights."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Mean and deviation of observations, of which later ones weigh more.

    Attributes:
        decay: Factor that each new observation applies to the weight of
            earlier ones.
        initial: Mean without observations, in the unit of the observations.
        weight: Sum of the weights of all observations.
        weighted_sum: Weighted sum of the observations.
        weighted_squares: Weighted sum of their squares.
    """

    decay: float
    initial: float
    weight: float = 0.0
    weighted_sum: float = 0.0
    weighted_squares: float = 0.0

    def observe(self, value: float, weight: float = 1.0) -> None:
        """Adds an observation.

        Args:
            value: The observation.
            weight: How much it counts; at most 1.0. One that counts less also
                decays earlier ones less.
        """
        factor = self.decay**weight
        self.weight = self.weight * factor + weight
        self.weighted_sum = self.weighted_sum * factor + weight * value
        self.weighted_squares = (
            self.weighted_squares * factor + weight * value * value
        )

    def mean(self) -> float:
        """Returns the mean of the observations."""
        if not self.weight:
            return self.initial
        return self.weighted_sum / self.weight

    def shrunk_mean(self, prior: float, prior_weight: float) -> float:
        """Returns the mean, averaged with a prior.

        Args:
            prior: Mean that holds without observations.
            prior_weight: Number of observations that the prior counts as.
        """
        total = self.weighted_sum + prior_weight * prior
        return total / (self.weight + prior_weight)

    def deviation(self) -> float:
        """Returns the standard deviation of the observations."""
        if not self.weight:
            return 0.0
        mean = self.mean()
        return math.sqrt(
            max(0.0, self.weighted_squares / self.weight - mean * mean)
        )

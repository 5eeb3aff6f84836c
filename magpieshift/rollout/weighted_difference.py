"""The difference between two success rates, with a confidence sequence: an interval valid at all times at
once.

Each round adds the requests that either side ended and served since the previous round. The difference of the
two rates is weighted as in the Mantel-Haenszel test, so that zones and rounds of different load count by the
information they carry, and a fault that affects both sides of a round equally cancels out. The interval of
the weighted mean is Robbins' normal mixture, so it may be evaluated after each round without exceeding the
plan's false-positive rate. It uses the larger of two variances, that of independent requests and that
observed between rounds, because requests that fail together carry less information.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

PRIOR_REQUESTS = 20.0
"""Pseudo-requests at the long-run success rate that are added to the recent counts when the variance is
estimated. With fewer, chance moves the weights; with more, an outage hardly lowers them."""
RECENT_DECAY = 0.8
"""Decay factor of the recent counts per round; closer to 1, the weights follow an outage later."""
MIN_VARIANCE = 0.01
"""Lower bound of the estimated variance of one request's outcome: no failure so far does not mean that none
will follow."""
MIXTURE_WEIGHT = 20_000.0
"""Sum of weights near which Robbins' interval is narrowest; a few hundred requests per side reach it. A
larger value gives later decisions and narrower final intervals."""


@dataclass
class WeightedDifference:
    """Weighted differences of success rates (new minus old) of one request class.

    The weight of a round follows from the requests of both sides, divided by the recent variance of one
    request's outcome, so rounds in which both sides do badly, when chance is largest, count least. The
    variance is estimated from earlier rounds only: a weight that depended on the round's own outcome would
    bias the sum.
    """

    weighted_sum: float = 0.0
    """Sum of the weighted differences."""
    weight_sum: float = 0.0
    """Sum of the weights, which is also the variance of ``weighted_sum`` if requests fail independently."""
    weighted_square_sum: float = 0.0
    """Sum of the squared weighted differences."""
    weight_product_sum: float = 0.0
    """Sum of the weighted differences times their weights."""
    weight_square_sum: float = 0.0
    """Sum of the squared weights."""
    requests_new: int = 0
    """Requests on the new side."""
    requests_old: int = 0
    """Requests on the old side."""
    served_new: int = 0
    """Requests served in time on the new side."""
    served_old: int = 0
    """Requests served in time on the old side."""
    recent_requests: float = 0.0
    """Exponentially decaying count of the requests of both sides."""
    recent_served: float = 0.0
    """Exponentially decaying count of the requests that both sides served in time."""

    def add(self, requests_new: int, served_new: int, requests_old: int, served_old: int) -> None:
        """Add the counts of both sides in one zone since the previous round."""
        requests_before = self.requests_new + self.requests_old
        usual_rate = (self.served_new + self.served_old) / requests_before if requests_before else 1.0
        rate = (self.recent_served + PRIOR_REQUESTS * usual_rate) / (self.recent_requests + PRIOR_REQUESTS)
        variance = max(rate * (1 - rate), MIN_VARIANCE)
        self.recent_requests = RECENT_DECAY * self.recent_requests + requests_new + requests_old
        self.recent_served = RECENT_DECAY * self.recent_served + served_new + served_old
        self.requests_new += requests_new
        self.requests_old += requests_old
        self.served_new += served_new
        self.served_old += served_old
        if not (requests_new and requests_old):
            return
        weight = requests_new * requests_old / (requests_new + requests_old) / variance
        weighted = weight * (served_new / requests_new - served_old / requests_old)
        self.weighted_sum += weighted
        self.weight_sum += weight
        self.weighted_square_sum += weighted * weighted
        self.weight_product_sum += weight * weighted
        self.weight_square_sum += weight * weight

    def confidence_interval(self, error_rate: float) -> tuple[float, float]:
        """Lower and upper bound of the difference of the rates (new minus old). With probability
        1 - ``error_rate`` at least, the intervals of all rounds contain the true difference."""
        if not self.weight_sum:
            return -1.0, 1.0
        mean = self.weighted_sum / self.weight_sum
        observed = (
            self.weighted_square_sum
            - 2 * mean * self.weight_product_sum
            + mean * mean * self.weight_square_sum
        )
        variance = max(self.weight_sum, observed)
        mixture = MIXTURE_WEIGHT * variance / self.weight_sum
        radius = math.sqrt(
            (variance + mixture) * math.log((variance + mixture) / (mixture * error_rate * error_rate))
        )
        return mean - radius / self.weight_sum, mean + radius / self.weight_sum

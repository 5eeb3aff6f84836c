"""The difference between two success rates, with an interval that holds at all times at once.

Each round gives what either side was asked and served since the last. The difference of the two rates is
weighted as in Mantel and Haenszel's test, so that zones and moments of different load count by what they can
tell, and what strikes both sides alike at a moment drops out. The sum of weighted differences has an interval
that holds at all times at once (the normal mixture of Robbins): it may be looked at after each round without
being wrong more often than the plan allows. The larger of the variance that single requests have and the one
that was seen between rounds counts: requests that fail together tell less.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

PRIOR_REQUESTS = 20.0
"""Requests at the usual rate that a moment's rate is drawn to; fewer let chance move the
weights, more hide an outage from them."""
RECENT_DECAY = 0.8
"""Of recent counts, from one round to the next; nearer to 1 follows an outage later."""
MIN_VARIANCE = 0.01
"""Of one request: that none has failed yet does not say that none will."""
MIXTURE_WEIGHT = 20_000.0
"""Weight about which Robbins' interval is narrowest: some hundred requests a side. Larger
decides later and more sharply."""


@dataclass
class WeightedDifference:
    """Of one class: differences of the rates, new less old, each weighted by what it can tell: the requests
    of both sides, over the variance that one request lately had. So times at which all do badly, when chance
    is largest, count least. A weight goes by what came before it alone: one that knew its own outcome would
    bend the sum."""

    total: float = 0.0
    """Sum of the weighted differences."""
    weight: float = 0.0
    """Sum of the weights, and the variance of the total if single requests fail by themselves."""
    squares: float = 0.0
    """Sum of the squared weighted differences."""
    crossed: float = 0.0
    """Sum of the weighted differences times their weights."""
    weights: float = 0.0
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
    """Requests of both sides, decaying."""
    recent_served: float = 0.0
    """Requests served in time on both sides, decaying."""

    def add(self, requests_new: int, served_new: int, requests_old: int, served_old: int) -> None:
        """What both sides did in one zone since the last round."""
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
        self.total += weighted
        self.weight += weight
        self.squares += weighted * weighted
        self.crossed += weight * weighted
        self.weights += weight * weight

    def confidence_interval(self, error_rate: float) -> tuple[float, float]:
        """The difference of the rates, at least and at most: right at all times at once, but for a fraction
        ``error_rate`` of all comparisons."""
        if not self.weight:
            return -1.0, 1.0
        mean = self.total / self.weight
        observed = self.squares - 2 * mean * self.crossed + mean * mean * self.weights
        variance = max(self.weight, observed)
        mixture = MIXTURE_WEIGHT * variance / self.weight
        radius = math.sqrt(
            (variance + mixture) * math.log((variance + mixture) / (mixture * error_rate * error_rate))
        )
        return mean - radius / self.weight, mean + radius / self.weight

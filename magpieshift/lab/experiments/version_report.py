"""Report of the experiment with versioned configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_DURATION_US = 60_000_000  # upper limit of the histograms: far above any timeout of the experiment


@dataclass
class Report:
    """Counts and findings. The field names are the keys of the saved report."""

    sent: int = 0
    accepted: int = 0
    rejected: int = 0
    unanswered: int = 0  # answers lost with the connection; the next hello reported the version in force
    kills: int = 0
    breaks: int = 0
    half_applied: int = 0
    mismatches: int = 0
    requests: int = 0
    lost_requests: int = 0
    cut_requests: int = 0  # requests open when the router was killed
    double_answers: int = 0
    second_attempts: int = 0
    seconds: float = 0.0
    unusable: dict[str, int] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    apply_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_DURATION_US, 3))
    pause_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_DURATION_US, 3))

    @property
    def good(self) -> bool:
        """Whether at least one version was accepted and no rule was violated."""
        broken = self.half_applied or self.mismatches or self.lost_requests or self.double_answers
        return not (broken or self.second_attempts or self.findings) and self.accepted > 0

    def figures(self) -> dict[str, Any]:
        """Return counts, and percentiles in milliseconds, by the keys of the saved report."""
        plain = {
            name: value
            for name, value in vars(self).items()
            if name not in ("findings", "apply_us", "pause_us")
        }
        for name, histogram in (("apply", self.apply_us), ("pause", self.pause_us)):
            for percent in (50, 99):
                value = histogram.get_value_at_percentile(percent) / 1000
                plain[f"{name}_ms_p{percent}"] = round(value, 3)
        return plain | {"findings": len(self.findings)}

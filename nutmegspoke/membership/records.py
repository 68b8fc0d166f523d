"""Record of one address in the target directory."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from nutmegspoke.engine_protocol import LoadReport
from nutmegspoke.layers import LayerRange
from nutmegspoke.membership.states import LeavingMark, Source
from nutmegspoke.targets import Target, TargetState

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import HostEntry


@dataclasses.dataclass(slots=True)
class TargetRecord:
    """Everything known about one address, except for its pools.

    :param address: ``IP:PORT``.
    :param entry: its entry in the host list; ``None`` if it has none.
    :param absent_since_s: when it was first missing from the host list.
    :param leaving: set once it was reported as leaving.
    :param restart_noticed_s: when the last restart of the target was noticed.
    :param gone_since_s: when a connection was last refused or reset.
    :param refused_s: when a connection was last refused.
    :param silent_since_s: when a new connection timed out without an answer.
    :param report: its last load report.
    :param asked_s: when that report was requested.
    :param reported_s: when that report was received.
    :param sent_s: send times of requests that the report may not include.
    :param own_in_flight: requests of this daemon in flight to it.
    """

    address: str
    entry: HostEntry | None = None
    absent_since_s: float | None = None
    leaving: LeavingMark | None = None
    restart_noticed_s: float | None = None
    gone_since_s: float | None = None
    refused_s: float | None = None
    silent_since_s: float | None = None
    report: LoadReport | None = None
    asked_s: float = 0.0
    reported_s: float = 0.0
    sent_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque,
    )
    own_in_flight: int = 0
    _cached_targets: dict[str, tuple[Any, Target]] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def start_id(self) -> str:
        """Return the start id that the target last reported; may be empty."""
        return self.report.start_id if self.report else ''

    def mark_leaving(
        self,
        source: Source,
        now_s: float,
        start_id: str | None = None,
    ) -> bool:
        """Mark the target as leaving.

        No start id is stored for the host list, because it lags and may still
        describe an earlier start.

        :param start_id: start of the target that is leaving; ``None`` for the
            last reported one.
        :returns: ``False`` if the target was already marked.
        """
        if self.leaving is not None:
            return False
        if start_id is None:
            start_id = '' if source == Source.HOST_LIST else self.start_id
        self.leaving = LeavingMark(source, now_s, start_id)
        return True

    def has_restarted(self, absent_since_s: float | None) -> bool:
        """Return whether a target that is listed again has restarted.

        If the start id of the leaving target is known, the list is not
        evidence of a restart; a load report with a different start id is.

        :param absent_since_s: when it was first missing from the list;
            ``None`` if it was not.
        """
        if self.leaving is None or absent_since_s is None:
            return False
        return not self.leaving.start_id and (
            absent_since_s > self.leaving.since_s
        )

    def is_idle_since(self, time_s: float) -> bool:
        """Return whether it is unlisted and has not been used since a time."""
        if self.entry is not None or self.own_in_flight:
            return False
        marked_s = self.leaving.since_s if self.leaving else 0.0
        return max(self.absent_since_s or 0.0, self.asked_s, marked_s) < time_s

    def reset_after_restart(self, now_s: float) -> None:
        """Discard everything recorded about the earlier start of the target."""
        self.leaving = None
        self.restart_noticed_s = now_s
        self.gone_since_s = None
        self.refused_s = None
        self.silent_since_s = None
        self.report = None
        self._cached_targets.clear()

    def store_report(
        self,
        report: LoadReport,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Store a report.

        Requests sent before it was requested are included in it, so that they
        are no longer counted separately.
        """
        self.report = report
        self.asked_s = asked_s
        self.reported_s = now_s
        while self.sent_s and self.sent_s[0] < asked_s:
            self.sent_s.popleft()

    def state(self, now_s: float, max_report_age_s: float) -> TargetState:
        """Return the state of the target.

        Targets that the operator lists as leaving are not considered here.
        """
        if self.leaving is not None:
            return TargetState.LEAVING
        if self.gone_since_s is not None:
            return TargetState.GONE
        is_old = now_s - self.asked_s > max_report_age_s
        if self.report is None or is_old or self.silent_since_s is not None:
            return TargetState.SUSPECT
        return TargetState.LIVE

    def target(self, pool: str, state: TargetState) -> Target:
        """Return the target as a member of a pool.

        The object is cached until one of its inputs changes.
        """
        cache_key = (
            state,
            self.own_in_flight,
            len(self.sent_s),
            self.reported_s,
            self.entry,
        )
        cached = self._cached_targets.get(pool)
        if cached is not None and cached[0] == cache_key:
            return cached[1]
        target = self._build_target(pool, state)
        self._cached_targets[pool] = (cache_key, target)
        return target

    def _build_target(self, pool: str, state: TargetState) -> Target:
        entry = self.entry
        report = self.report or LoadReport(self.address)
        return Target(
            name=entry.name if entry else self.address,
            address=self.address,
            pool=pool,
            availability_zone=entry.availability_zone if entry else '',
            state=state,
            layers=_layers(report),
            model=report.model,
            version=report.version,
            layer_tokens_per_s=report.layer_tokens_per_s,
            link_bytes_per_s=report.link_bytes_per_s,
            activation_bytes=report.activation_bytes,
            reported_in_flight=report.in_flight,
            reported_at_s=self.reported_s if self.report else 0.0,
            sent_since_report=len(self.sent_s),
            own_in_flight=self.own_in_flight,
        )


def _layers(report: LoadReport) -> LayerRange | None:
    if report.first_layer >= report.stop_layer:
        return None
    return LayerRange(report.first_layer, report.stop_layer)

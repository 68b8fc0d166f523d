"""What the directory keeps of one address."""

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
    """Everything known of one address, apart from the pools it is in.

    :param address: ``IP:PORT``.
    :param entry: its entry of the host list; ``None`` if it has none.
    :param absent_since_s: when the host list first lacked it.
    :param leaving: set when it was said to be leaving.
    :param fresh_start_s: when the present start of the target was noticed.
    :param gone_since_s: when a connection was refused or reset.
    :param refused_s: when a connection was last refused.
    :param silent_since_s: when a new connection gave no answer.
    :param report: its last load report.
    :param asked_s: when that report was asked for.
    :param reported_s: when that report came.
    :param sent_s: when work was sent that the report may not contain.
    :param own_in_flight: work of this daemon in flight on it.
    """

    address: str
    entry: HostEntry | None = None
    absent_since_s: float | None = None
    leaving: LeavingMark | None = None
    fresh_start_s: float | None = None
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
    _built: dict[str, tuple[Any, Target]] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def start_id(self) -> str:
        """Return the start that the target last reported; may be empty."""
        return self.report.start_id if self.report else ''

    def mark_leaving(
        self,
        source: Source,
        now_s: float,
        start_id: str | None = None,
    ) -> bool:
        """Mark the target as leaving.

        The host list lags, so it may speak of an earlier start.

        :param start_id: start that the word is of; ``None`` for the last
            reported one.
        :returns: whether this source was the first to say so.
        """
        if self.leaving is not None:
            return False
        if start_id is None:
            start_id = '' if source == Source.HOST_LIST else self.start_id
        self.leaving = LeavingMark(source, now_s, start_id)
        return True

    def is_started_anew(self, absent_since_s: float | None) -> bool:
        """Tell whether being listed again shows a fresh start.

        A start id, where it is known, is better evidence than the list.

        :param absent_since_s: when the list first lacked it.
        """
        if self.leaving is None or absent_since_s is None:
            return False
        return not self.leaving.start_id and (
            absent_since_s > self.leaving.since_s
        )

    def is_idle_since(self, time_s: float) -> bool:
        """Tell whether it is unlisted and was of no use after a time."""
        if self.entry is not None or self.own_in_flight:
            return False
        marked_s = self.leaving.since_s if self.leaving else 0.0
        return max(self.absent_since_s or 0.0, self.asked_s, marked_s) < time_s

    def begin_fresh_start(self, now_s: float) -> None:
        """Forget what was known of the target's earlier start."""
        self.leaving = None
        self.fresh_start_s = now_s
        self.gone_since_s = None
        self.refused_s = None
        self.silent_since_s = None
        self.report = None
        self._built.clear()

    def take_report(
        self,
        report: LoadReport,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Keep a report, and forget work that it surely contains."""
        self.report = report
        self.asked_s = asked_s
        self.reported_s = now_s
        while self.sent_s and self.sent_s[0] < asked_s:
            self.sent_s.popleft()

    def state(self, now_s: float, max_report_age_s: float) -> TargetState:
        """Return the state of the target, without the operator's word."""
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

        It is built anew only if something of it has changed.
        """
        seen = (
            state,
            self.own_in_flight,
            len(self.sent_s),
            self.reported_s,
            self.entry,
        )
        known = self._built.get(pool)
        if known is not None and known[0] == seen:
            return known[1]
        target = self._build(pool, state)
        self._built[pool] = (seen, target)
        return target

    def _build(self, pool: str, state: TargetState) -> Target:
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

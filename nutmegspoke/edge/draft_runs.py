"""Starts the runs of drafts on chains and records their results."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.edge.answer_reader import AnswerStalled
from nutmegspoke.edge.attempts import (
    Broken,
    NotSent,
    OpenedAnswer,
    OutboundRequest,
    Refused,
)
from nutmegspoke.edge.target_notices import TargetNotices
from nutmegspoke.forwarded import AnswerKind, Dispatch
from nutmegspoke.pipelines.event_stream import EventSplitter
from nutmegspoke.retries.target_faults import Fault

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.answer_reader import AnswerEvent, AnswerHead
    from nutmegspoke.edge.attempts import Attempts, OpenResult
    from nutmegspoke.edge.crash_watch import CrashWatch, WatchedRun
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.edge.stream_watch import StreamWatch
    from nutmegspoke.edge.target_connections import TargetConnection
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.layers import Chain
    from nutmegspoke.outcomes import NotRun

# An engine that refuses above this utilization lacks memory; it is not faulty.
_FULL_UTILIZATION = 0.6


@dataclasses.dataclass(eq=False, slots=True)
class DraftRun:
    """A draft that was sent to a chain and has not ended there.

    :param chain: chain that runs the draft.
    :param connection: connection on which the answer is received.
    :param reservation_key: key under which the memory of the run is reserved.
    :param opened: the answer; ``None`` until its head was received.
    :param splitter: splits the answer into events.
    :param has_ended: whether connection and memory were given back.
    :param is_broken_off: whether its first engine ended the connection without
        a complete answer.
    :param has_joined: whether the caller has received an event of this run.
    """

    chain: Chain
    connection: TargetConnection
    reservation_key: str
    watched: WatchedRun
    opened: OpenedAnswer | None = None
    splitter: EventSplitter = dataclasses.field(default_factory=EventSplitter)
    has_ended: bool = False
    is_broken_off: bool = False
    has_joined: bool = False


class DraftRuns:
    """Starts and ends the runs of drafts.

    Each run holds its own reservation of memory until it ends, so that a draft
    may have several runs.
    """

    def __init__(
        self,
        view: View,
        attempts: Attempts,
        watch: StreamWatch,
        crashes: CrashWatch,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        """Store the parts that runs use."""
        self._crashes = crashes
        self._notices = TargetNotices(view, log, clock)
        self._view = view
        self._attempts = attempts
        self._watch = watch
        self._log = log
        self._clock = clock

    async def find_refusal(
        self, context: RequestContext, *, has_answer: bool = False
    ) -> NotRun | None:
        """Return why a draft must not be sent now; ``None`` if it may.

        :param has_answer: whether the caller has a part of the answer.
        """
        return await self._crashes.find_refusal(context, has_answer=has_answer)

    async def start(
        self,
        context: RequestContext,
        chain: Chain,
        stream: SentStream,
    ) -> DraftRun | NotSent:
        """Send a draft to a chain on which memory is reserved for it.

        The run takes over the reservation.
        """
        connection = await self._attempts.send(
            self._new_outbound(context, chain, stream)
        )
        first_engine = chain[0].target
        if isinstance(connection, NotSent):
            self.release_reservation(context)
            self._record_not_sent(context, first_engine, connection)
            return connection
        context.sends += 1
        self._notices.sent(first_engine)
        if first_engine not in context.targets:
            context.targets.append(first_engine)
        run = DraftRun(
            chain,
            connection,
            f'{context.reservation_key}/{context.sends}',
            self._crashes.started(context, (stage.target for stage in chain)),
        )
        self._view.own_reservations.move(
            context.reservation_key, run.reservation_key
        )
        if context.route.retry_rule.may_retry:
            self._watch.watch(connection, chain)
        return run

    def release_reservation(self, context: RequestContext) -> None:
        """Release memory that no run has taken over."""
        self._view.own_reservations.release(context.reservation_key)

    def record_head(
        self,
        context: RequestContext,
        run: DraftRun,
        event: AnswerEvent,
    ) -> OpenResult:
        """Record the first event of a run.

        Unless it is the head of an answer, the caller has to end the run.
        """
        if isinstance(event, AnswerStalled):
            result: OpenResult = Broken(
                'no first event',
                is_timeout=True,
                lost_address=event.address,
            )
        else:
            result = self._attempts.classify_first_event(run.connection, event)
        now_s = self._clock.now_s()
        first_engine = run.chain[0].target
        if isinstance(result, Refused | OpenedAnswer):
            self._notices.record(context, first_engine, result.facts)
        if isinstance(result, Refused):
            self._record_refused(context, first_engine, result, now_s)
            return result
        context.may_have_run = True
        if isinstance(result, Broken):
            run.is_broken_off = not result.is_timeout
            self._record_broken(context, first_engine, result, now_s)
        elif not isinstance(result, NotSent):
            run.opened = result
            self._view.faults.succeeded(first_engine, now_s)
        return result

    def is_stream_head(self, head: AnswerHead) -> bool:
        """Return whether the events of a run follow a head."""
        facts = self._attempts.header_codec.read_answer(
            head.status, head.headers
        )
        return facts.kind == AnswerKind.SUCCESS

    def record_events(self, run: DraftRun) -> None:
        """Record that events of a run were received."""
        self._crashes.wrote(run.watched)

    def complete(self, run: DraftRun, opened: OpenedAnswer) -> None:
        """End a run whose answer is complete and keep its connection."""
        self._crashes.completed(run.watched)
        self.forget(run)
        self._attempts.release_connection(opened)

    def end(self, run: DraftRun) -> None:
        """End a run and close its connection; ignored if it has ended."""
        if run.has_ended:
            return
        self.forget(run)
        # The connection of a refused run may be kept for another request.
        if run.opened is not None or run.connection.is_answer_pending():
            run.connection.close()

    def forget(self, run: DraftRun) -> None:
        """End a run whose answer was read and its connection given back."""
        run.has_ended = True
        self._crashes.ended(run.watched, is_broken_off=run.is_broken_off)
        self._watch.unwatch(run.connection)
        self._view.own_reservations.release(run.reservation_key)

    def end_last(self, context: RequestContext, run: DraftRun) -> None:
        """End the last run of a draft.

        Its memory stays reserved until another chain is reserved or
        :meth:`release_reservation` is called, as its engines need some time to
        free it.
        """
        self._view.own_reservations.move(
            run.reservation_key, context.reservation_key
        )
        self.end(run)

    def record_silence_end(
        self,
        context: RequestContext,
        run: DraftRun,
        suspects: set[str],
        *,
        is_replaced: bool,
    ) -> None:
        """Log which run a draft has after a silence.

        :param run: run whose events are relayed from now on.
        :param suspects: names of the engines that were silent.
        :param is_replaced: whether this run is another than the silent one.
        """
        self._log.decided(
            'silence_ended',
            request=context.facts.request_id,
            target=run.chain[0].target,
            suspects=sorted(suspects),
            is_replaced=is_replaced,
            sends=context.sends,
            left_s=round(context.left_s(self._clock.now_s()), 3),
        )

    def avoid_stalled_engine(
        self, context: RequestContext, address: str, now_s: float
    ) -> str | None:
        """Avoid the engine that stalls a stream, if it is known.

        :param address: ``IP:PORT`` of the engine; empty if unknown.
        :returns: name of the engine; ``None`` if it is not known.
        """
        target = self._view.find_target_at(address)
        if target is not None:
            self._record_fault(context, target, Fault.SILENT, now_s)
        return target

    def _new_outbound(
        self,
        context: RequestContext,
        chain: Chain,
        stream: SentStream,
    ) -> OutboundRequest:
        now_s = self._clock.now_s()
        left_s = context.left_s(now_s)
        dispatch = Dispatch(
            target=chain[0].target,
            team=context.team,
            time_left_s=left_s,
            chain=tuple(
                (stage.address, stage.layers.start, stage.layers.stop)
                for stage in chain
            ),
            resume_after=stream.position.last_id,
            urgency=self._view.contention.urgency(
                context.pool.name,
                context.priority,
                has_answer=stream.has_head or bool(context.facts.resume_after),
            ),
        )
        return OutboundRequest(
            address=chain[0].address,
            request_id=context.facts.request_id,
            request=self._attempts.header_codec.write_request(
                context.request, dispatch
            ),
            # On a reused connection a request that was never read can't be
            # told from a lost answer.
            fresh=not context.route.retry_rule.may_retry,
            max_connections=self._view.max_connections_per_target(
                context.pool, now_s
            ),
        )

    def _record_not_sent(
        self, context: RequestContext, first_engine: str, result: NotSent
    ) -> None:
        kind = Fault.FULL if result.is_full else Fault.UNREACHABLE
        if not result.is_full:
            context.lost.add(first_engine)
        self._record_fault(context, first_engine, kind, self._clock.now_s())

    def _record_refused(
        self,
        context: RequestContext,
        first_engine: str,
        result: Refused,
        now_s: float,
    ) -> None:
        named_target = self._view.find_target_at(
            result.facts.unreachable_address
        )
        target = named_target or first_engine
        if result.facts.pause_s > 0:
            context.avoided.add(first_engine)
        if result.facts.pause_s > 0 and target == first_engine:
            return
        is_full = self._view.find_utilization(target, now_s) > _FULL_UTILIZATION
        kind = Fault.FULL if is_full else Fault.NAMED_AT_FAULT
        self._record_fault(context, target, kind, now_s)

    def _record_broken(
        self,
        context: RequestContext,
        first_engine: str,
        result: Broken,
        now_s: float,
    ) -> None:
        if result.is_timeout:
            self.avoid_stalled_engine(context, result.lost_address, now_s)
        else:
            self._record_fault(context, first_engine, Fault.BROKE_OFF, now_s)

    def _record_fault(
        self,
        context: RequestContext,
        target: str,
        fault: Fault,
        now_s: float,
    ) -> None:
        """Record a fault of a target.

        This request avoids the target from now on, and the daemon leaves it
        out for some time.
        """
        context.avoided.add(target)
        left_out_s = self._view.faults.record_fault(target, fault, now_s)
        self._log.decided(
            'target_left_out',
            request=context.facts.request_id,
            target=target,
            fault=fault.value,
            left_out_s=left_out_s,
        )

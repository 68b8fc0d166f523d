"""Creates the handler of callers' requests and its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.admission.caller_memory import CallerMemory
from nutmegspoke.edge.attempts import Attempts
from nutmegspoke.edge.callers import CallerHandler
from nutmegspoke.edge.copies import Copies
from nutmegspoke.edge.crash_watch import CrashWatch
from nutmegspoke.edge.draft_runs import DraftRuns
from nutmegspoke.edge.drafts import DraftHandler
from nutmegspoke.edge.hedged_drafts import HedgedDrafts
from nutmegspoke.edge.own_answers import AnswerSender
from nutmegspoke.edge.plain_calls import PlainCalls
from nutmegspoke.edge.stream_watch import StreamWatch

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.edge_metrics import EdgeMetrics
    from nutmegspoke.edge.platform_parts import PlatformParts
    from nutmegspoke.edge.target_connections import TargetConnections
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import HostLimits


def new_caller_handler(
    parts: PlatformParts,
    view: View,
    connections: TargetConnections,
    metrics: EdgeMetrics,
    log: DecisionLog,
    clock: Clock,
) -> CallerHandler:
    """Return the handler of callers' requests."""
    attempts = Attempts(connections, parts.header_codec, clock)
    answer_sender = AnswerSender(parts.header_codec, log, metrics, view, clock)
    watch = StreamWatch(parts.engines)
    crashes = CrashWatch(view, connections, log, clock)
    view.lost_engines.subscribe(watch.engine_ended)
    view.lost_engines.subscribe(crashes.engine_ended)
    copies = Copies(view, crashes, log, metrics, clock)
    hedged = HedgedDrafts(view, copies, clock)
    runs = DraftRuns(view, attempts, watch, crashes, log, clock)
    return CallerHandler(
        view,
        parts.header_codec,
        PlainCalls(view, attempts, answer_sender, crashes, log, copies, clock),
        DraftHandler(
            view, attempts, answer_sender, watch, runs, log, hedged, clock
        ),
        answer_sender,
        connections.answer_memory,
        clock,
    )


def new_caller_memory(
    connections: TargetConnections, limits: HostLimits
) -> CallerMemory:
    """Return the memory for requests, which they share with answers."""
    return CallerMemory(connections.answer_memory, limits.memory_bytes)

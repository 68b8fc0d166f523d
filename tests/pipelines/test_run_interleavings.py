"""Random interleavings of losses, duplicates, restarts and resumes.

They check promise 1: the caller only gets tokens of the expected answer.
"""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from nutmegspoke.engine_protocol import StepRefusal, StepReply
from nutmegspoke.pipelines.decisions import SendStep, TokenReady
from nutmegspoke.pipelines.losses import LossPolicy, Remedy
from nutmegspoke.pipelines.recovery import ReplayStrategy
from nutmegspoke.pipelines.resume import ResumePoint, stage_records
from nutmegspoke.pipelines.run import DraftRun
from tests import builders_pipelines as build

_CHAINS = (
    build.CHAIN,
    build.OTHER_CHAIN,
    build.chain('e:0-4', 'c:4-6'),
    build.chain('f:0-6'),
    build.chain('a:0-2', 'f:2-6'),
    build.chain('e:0-3', 'f:3-6'),
    build.chain('f:0-2', 'b:2-4', 'f:4-6'),
)
_PICK = st.integers(0, 1_000)
_MAX_MESSAGES = 12
_MAX_CLOSING_STEPS = 400


@dataclasses.dataclass
class _Message:
    """A step that is sent to a stage, or the answer of the stage."""

    owner: int
    decision: SendStep
    answer: StepReply | StepRefusal | None = None


class _Daemon:
    """A run and the tokens that it delivered."""

    def __init__(self, run: DraftRun, first: int) -> None:
        self.run = run
        self.policy = LossPolicy(run.attempt)
        self.first = first
        self.delivered: list[int] = []
        self.has_ended = False


class Interleavings(stateful.RuleBasedStateMachine):
    """Daemons that run one stream, engines, and messages between them."""

    def __init__(self) -> None:
        """Create engines without messages or daemons."""
        super().__init__()
        self.expected = build.expected_answer()
        self.engines = build.engines()
        self.messages: list[_Message] = []
        self.daemons: list[_Daemon] = []
        self.point: ResumePoint | None = None

    @stateful.initialize(pick=_PICK, replays=st.booleans())
    def begin(self, pick: int, *, replays: bool) -> None:
        """Start the first daemon and a stream of another request."""
        self.replays = replays
        self._start(self._run(_pick(_CHAINS, pick), 1)).begin()
        other = build.run(stream_id='s2', prompt='another request')
        decision = other.begin()
        reply = build.run_step(
            self.engines, decision.stage.target, decision.step
        )
        self.other = reply
        self._send(0, self.daemons[0].run.begin())

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(pick=_PICK)
    def deliver(self, pick: int) -> None:
        """Deliver a random message."""
        self._deliver(self.messages.pop(pick % len(self.messages)))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule()
    def deliver_first(self) -> None:
        """Deliver the oldest message."""
        self._deliver(self.messages.pop(0))

    @stateful.precondition(lambda self: 0 < len(self.messages) < _MAX_MESSAGES)
    @stateful.rule(pick=_PICK)
    def double(self, pick: int) -> None:
        """Duplicate a random message."""
        self.messages.append(dataclasses.replace(_pick(self.messages, pick)))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(pick=_PICK)
    def cross(self, pick: int) -> None:
        """Deliver an answer, or a reply of another stream, to a random daemon."""
        owner = pick % len(self.daemons)
        answer = _pick(self.messages, pick).answer or self.other
        decision = _pick(self.messages, pick).decision
        self._take(_Message(owner, decision, answer))

    @stateful.rule(pick=_PICK)
    def restart_engine(self, pick: int) -> None:
        """Clear the caches of an engine."""
        engine = _pick(list(self.engines.values()), pick)
        engine.load(engine.first_layer, engine.stop_layer)

    @stateful.rule(first=st.integers(0, 2), pick=_PICK)
    def change_layers(self, first: int, pick: int) -> None:
        """Reassign an engine to another layer range."""
        _pick(list(self.engines.values()), pick).load(first, first + 3)

    @stateful.rule(pick=_PICK)
    def time_out(self, pick: int) -> None:
        """Let a daemon resend or restart because of a timeout."""
        daemon = _pick(self.daemons, pick)
        if daemon.has_ended:
            return
        if pick % 3:
            self._send_by(daemon, daemon.run.resend())
        else:
            chain = _pick(_CHAINS, pick // 3)
            self._send_by(daemon, daemon.run.restart(chain))

    @stateful.precondition(lambda self: len(self.daemons) < 3)
    @stateful.rule(pick=_PICK)
    def resume(self, pick: int) -> None:
        """Let the caller resume at another daemon."""
        point = self.point
        if point is None or point.count == len(self.expected):
            return
        chain = point.chain if pick % 2 else _pick(_CHAINS, pick)
        run = self._run(chain, point.next_attempt)
        self._start(run, point.count)
        self._send_by(self.daemons[-1], run.resume(point))

    @stateful.invariant()
    def delivered_is_right(self) -> None:
        """Each daemon delivered a part of the expected answer and nothing else."""
        for daemon in self.daemons:
            end = daemon.first + len(daemon.delivered)
            assert daemon.delivered == self.expected[daemon.first : end]

    def teardown(self) -> None:
        """Without further faults, the last daemon completes the answer."""
        if not self.daemons:
            return
        self.messages.clear()
        self._load_initial_layers()
        daemon = self.daemons[-1]
        if not daemon.has_ended:
            self._send_by(daemon, daemon.run.resend())
        for _ in range(_MAX_CLOSING_STEPS):
            if self.messages:
                self._deliver(self.messages.pop(0))
        assert daemon.delivered == self.expected[daemon.first :]

    def _load_initial_layers(self) -> None:
        """Reassign engines to their initial layers, with empty caches."""
        for name, initial in build.engines().items():
            engine = self.engines[name]
            layers = (initial.first_layer, initial.stop_layer)
            if layers != (engine.first_layer, engine.stop_layer):
                engine.load(*layers)

    def _run(self, over: Any, attempt: int) -> DraftRun:
        strategy = ReplayStrategy(100_000) if self.replays else None
        return DraftRun(build.plan(), over, attempt, strategy)

    def _start(self, run: DraftRun, first: int = 0) -> DraftRun:
        self.daemons.append(_Daemon(run, first))
        return run

    def _send(self, owner: int, decision: SendStep) -> None:
        self.messages.append(_Message(owner, decision))

    def _send_by(self, daemon: _Daemon, decision: SendStep) -> None:
        self._send(self.daemons.index(daemon), decision)

    def _deliver(self, message: _Message) -> None:
        if message.answer is None:
            message.answer = build.run_step(
                self.engines,
                message.decision.stage.target,
                message.decision.step,
            )
            self.messages.append(message)
        else:
            self._take(message)

    def _take(self, message: _Message) -> None:
        daemon = self.daemons[message.owner]
        if daemon.has_ended:
            return
        if isinstance(message.answer, StepRefusal):
            self._take_refusal(daemon, message)
            return
        decision = daemon.run.accept(message.answer)
        if isinstance(decision, SendStep):
            self._send(message.owner, decision)
        if isinstance(decision, TokenReady):
            daemon.delivered.append(decision.token)
            self._record_point(message.owner)
            daemon.has_ended = decision.following is None
            if decision.following is not None:
                self._send(message.owner, decision.following)

    def _record_point(self, owner: int) -> None:
        """Record the resume point, if the caller is connected to this daemon."""
        if owner == len(self.daemons) - 1:
            self.point = _point(self.daemons[owner].run)

    def _take_refusal(self, daemon: _Daemon, message: _Message) -> None:
        attempt = message.decision.step.attempt
        if attempt != daemon.run.attempt:
            return
        policy = LossPolicy(daemon.run.attempt)
        remedy = policy.choose_remedy(
            message.answer, message.decision.stage.target, attempt
        )
        if remedy is Remedy.GIVE_UP:
            return
        chain = daemon.run.chain
        if remedy is Remedy.REPLACE:
            chain = _CHAINS[attempt % len(_CHAINS)]
        decision = daemon.run.restart(chain, message.answer.attempt)
        self._send_by(daemon, decision)


def _pick(choices: Any, pick: int) -> Any:
    return choices[pick % len(choices)]


def _point(run: DraftRun) -> ResumePoint:
    return ResumePoint(
        stream_id=run.plan.stream_id,
        fingerprint='',
        attempt=run.attempt,
        position=run.position,
        count=run.answer.count,
        last_token=run.last_token,
        digest=run.answer.digest,
        seed=run.plan.seed,
        stages=stage_records(run.chain),
    )


class InterleavingsTest(unittest.TestCase):
    """Runs the state machine."""

    def test_interleavings(self) -> None:
        """Every interleaving delivers the expected answer."""
        stateful.run_state_machine_as_test(
            Interleavings,
            settings=hypothesis.settings(
                derandomize=True,
                deadline=None,
                max_examples=100,
                stateful_step_count=60,
                database=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )

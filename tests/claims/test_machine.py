"""Random interleavings of daemons, a failing table service and targets.

The journal of the service records each run. The tests check against it that
each key runs at most once, and that the outcome each caller gets is true.
"""

from __future__ import annotations

import collections
import dataclasses
import unittest
from typing import TYPE_CHECKING

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import steps
from nutmegspoke.claims.decider import ClaimDecider, ClaimLimits
from nutmegspoke.claims.settlement import Verdict, settle
from tests import builders_claims as build

if TYPE_CHECKING:
    from collections.abc import Callable

_Reason = outcomes.RefusalReason
_KEYS = tuple(f'claim/press/send/{name}' for name in 'abcd')
_SOME_KEY = st.sampled_from(_KEYS)
_SOME_DAEMON = st.integers(0, 2)
_SOME_CALLER = st.integers(0, 3)
_FAULTS = st.sampled_from(('', '', '', '', 'lost', 'dropped', 'late', 'down'))
_CALL_RESULTS = st.sampled_from(
    ('ok', 'ok', 'error', 'refused', 'broken', 'died')
)


@dataclasses.dataclass
class Daemon:
    """A daemon; after a kill it is replaced by one with a new name."""

    name: str
    decider: ClaimDecider
    is_killed: bool = False


@dataclasses.dataclass
class Caller:
    """A request at a daemon."""

    daemon: Daemon
    claim: steps.ClaimRequest
    step: steps.Step
    may_run: bool = False


@dataclasses.dataclass
class Run:
    """An entry of the service's journal."""

    request_id: str
    body: str


class Deployment(RuleBasedStateMachine):
    """Three daemons, one table service and one service."""

    def __init__(self) -> None:
        """Start the daemons."""
        super().__init__()
        self.now_s = 1000.0
        self.number = 0
        self.store = build.RowStore()
        self.late: list[metadata_store.Transaction] = []
        self.is_down = False
        self.journal = collections.defaultdict(list)
        self.outcomes_sent: list[tuple[Caller, outcomes.Outcome]] = []
        self.sent: list[Caller] = []
        self.open: list[Caller] = []
        self.daemons = [self._daemon() for _ in range(3)]

    def _next(self) -> int:
        self.number += 1
        return self.number

    def _daemon(self) -> Daemon:
        name = f'd{self._next()}'
        limits = ClaimLimits()
        decider = ClaimDecider(name, steps.UnknownLiveness(), limits)
        return Daemon(name, decider)

    def _commit(
        self,
        transaction: metadata_store.Transaction,
        fault: str,
    ) -> metadata_store.CommitResult:
        if self.is_down or fault == 'down':
            return metadata_store.Unavailable('down')
        if fault == 'late':
            self.late.append(transaction)
        if fault in {'late', 'dropped'}:
            return metadata_store.InDoubt(fault)
        result = self.store.apply(transaction)
        return metadata_store.InDoubt(fault) if fault == 'lost' else result

    def _send_outcome(self, caller: Caller, outcome: outcomes.Outcome) -> None:
        self.outcomes_sent.append((caller, outcome))
        if caller in self.open:
            self.open.remove(caller)
        self._check_outcome(caller, outcome)

    def _check_outcome(self, caller: Caller, outcome: outcomes.Outcome) -> None:
        runs = self.journal[caller.claim.key]
        if isinstance(outcome, outcomes.Completed | outcomes.Failed):
            assert len(runs) == 1
            assert outcome.body == runs[0].request_id.encode()
            assert runs[0].body == caller.claim.fingerprint
            own = runs[0].request_id == caller.claim.request_id
            assert outcome.replayed != own
        if isinstance(outcome, outcomes.NotRun):
            assert caller.claim.request_id not in [r.request_id for r in runs]
        if isinstance(outcome, outcomes.Unknown):
            assert caller.may_run or self._may_other_have_run(caller), outcome

    def _may_other_have_run(self, caller: Caller) -> bool:
        """Return whether another request with the same key may have run."""
        key = caller.claim.key
        refused = [
            each.claim.request_id
            for each, outcome in self.outcomes_sent
            if isinstance(outcome, outcomes.NotRun)
        ]
        return any(
            each.claim.key == key
            and each is not caller
            and (
                each.claim.request_id not in refused
                or each.daemon.is_killed
                or each.daemon.decider.open_count
            )
            for each in self.sent
        )

    def _advance(self, caller: Caller, fault: str) -> None:
        """Carry out one step of a caller's claim."""
        if caller not in self.open:
            return
        decider = caller.daemon.decider
        match caller.step:
            case steps.CommitClaim(key, transaction):
                commit = self._commit(transaction, fault)
                caller.step = decider.handle_insert_result(
                    key, commit, self.now_s
                )
            case steps.ReadClaim(key):
                found = self.store.row(key)
                if self.is_down or fault == 'down':
                    found = metadata_store.Unavailable(fault)
                caller.step = decider.handle_row(key, found, self.now_s)
            case steps.Proceed():
                self._check_dispatch(caller)
        if isinstance(caller.step, steps.Answer):
            self._send_outcome(caller, caller.step.outcome)

    def _check_dispatch(self, caller: Caller) -> None:
        if caller.may_run:
            return
        decider = caller.daemon.decider
        step = decider.dispatch(caller.claim.key, self.now_s)
        if isinstance(step, steps.Proceed):
            caller.may_run = True
            return
        decider.finish(caller.claim.key, step.outcome, self.now_s)
        caller.step = step

    def _run(self, caller: Caller, call_result: str) -> None:
        """Send a dispatched call to the service, which returns ``call_result``."""
        key = caller.claim.key
        body = caller.claim.request_id.encode()
        if call_result in {'ok', 'error', 'broken'}:
            self._journal(caller)
        outcome = {
            'ok': outcomes.Completed(200, body),
            'error': outcomes.Failed(500, body),
            'refused': outcomes.NotRun(_Reason.TARGET_REFUSED, 1.0),
            'broken': outcomes.Unknown(outcomes.UnknownReason.ANSWER_LOST),
            'died': outcomes.Unknown(outcomes.UnknownReason.ANSWER_LOST),
        }[call_result]
        caller.daemon.decider.finish(key, outcome, self.now_s)
        self._send_outcome(caller, outcome)

    @rule(
        daemon=_SOME_DAEMON,
        key=_SOME_KEY,
        body=st.sampled_from(('x', 'x', 'x', 'y')),
    )
    def send(self, daemon: int, key: str, body: str) -> None:
        """A caller sends a call with a key to a daemon."""
        claim = build.claim_request(
            str(self._next()),
            key=key,
            fingerprint=body,
            started_s=self.now_s,
        )
        chosen = self.daemons[daemon]
        step = chosen.decider.begin(claim, self.now_s)
        caller = Caller(chosen, claim, step)
        self.sent.append(caller)
        self.open.append(caller)
        if isinstance(step, steps.Answer):
            self._send_outcome(caller, step.outcome)

    @precondition(lambda self: self.open)
    @rule(number=_SOME_CALLER, fault=_FAULTS, call_result=_CALL_RESULTS)
    def step(self, number: int, fault: str, call_result: str) -> None:
        """A daemon carries out one step of a claim, or runs the call."""
        caller = self.open[number % len(self.open)]
        if caller.may_run:
            self._run(caller, call_result)
        else:
            self._advance(caller, fault)

    @precondition(lambda self: self.open)
    @rule(number=_SOME_CALLER, call_result=_CALL_RESULTS)
    def stride(self, number: int, call_result: str) -> None:
        """A daemon takes a call to its outcome without faults of the store."""
        caller = self.open[number % len(self.open)]
        while caller in self.open and not caller.may_run:
            self._advance(caller, '')
        if caller in self.open:
            self._run(caller, call_result)

    @rule(daemon=_SOME_DAEMON, fault=_FAULTS)
    def write_outcomes(self, daemon: int, fault: str) -> None:
        """A daemon sends the due outcome writes and releases."""
        self._write_outcomes(daemon, fault)

    def _write_outcomes(self, daemon: int, fault: str) -> None:
        decider = self.daemons[daemon].decider
        for write in decider.due_writes(self.now_s):
            commit = self._commit(write.transaction, fault)
            decider.handle_write_result(write.key, commit, self.now_s)

    @rule(
        kind=st.sampled_from(
            ('land', 'land', 'wait', 'store', 'kill', 'settle')
        ),
        daemon=_SOME_DAEMON,
        key=_SOME_KEY,
        wait_s=st.sampled_from((0.3, 6.0, 70.0)),
        runs=st.booleans(),
    )
    def disturb(
        self,
        kind: str,
        daemon: int,
        key: str,
        wait_s: float,
        runs: bool,
    ) -> None:
        """A fault of the daemons or the store, or time that passes.

        Daemons without a step while time passes simulate frozen processes.
        """
        match kind:
            case 'land' if self.late:
                self.store.apply(self.late.pop(0))
            case 'wait':
                self.now_s += wait_s
            case 'store':
                self.is_down = not self.is_down
            case 'kill':
                self._kill(daemon, runs=runs)
            case 'settle':
                self._settle(key)

    def _kill(self, daemon: int, *, runs: bool) -> None:
        """Kill a daemon: its calls may run, its callers get no outcome."""
        gone = self.daemons[daemon]
        gone.is_killed = True
        for caller in list(self.open):
            if caller.daemon is not gone:
                continue
            self.open.remove(caller)
            if caller.may_run and runs:
                self._journal(caller)
        self.daemons[daemon] = self._daemon()

    def _journal(self, caller: Caller) -> None:
        run = Run(caller.claim.request_id, caller.claim.fingerprint)
        self.journal[caller.claim.key].append(run)

    def _settle(self, key: str) -> None:
        """An operator settles a claim according to the journal."""
        live = {daemon.name for daemon in self.daemons}
        verdict = Verdict.RAN if self.journal[key] else Verdict.NOT_RUN
        found = self.store.row(key)
        write = settle(found, verdict, 'operator', live)
        if isinstance(write, metadata_store.Transaction):
            self.store.apply(write)

    @invariant()
    def at_most_one_run(self) -> None:
        """No key has run twice."""
        for key, runs in self.journal.items():
            assert len(runs) <= 1, (key, runs)

    @invariant()
    def refusals_stay_true(self) -> None:
        """A refused call never runs later."""
        for caller, outcome in self.outcomes_sent:
            if isinstance(outcome, outcomes.NotRun):
                self._check_outcome(caller, outcome)

    def teardown(self) -> None:
        """After the faults, each key has an answer, can run, or is unknown."""
        self.is_down = False
        for transaction in self.late:
            self.store.apply(transaction)
        for caller in list(self.open):
            self._finish(caller)
        self.now_s += 60.0
        for number in range(3):
            self._wait_until(lambda number=number: self._drained(number))
        for key in _KEYS:
            self._check_later_call(key)

    def _finish(self, caller: Caller) -> None:
        while caller in self.open:
            if caller.may_run:
                self._run(caller, 'ok')
            else:
                self._advance(caller, '')

    def _drained(self, number: int) -> bool:
        self.now_s += 60.0
        self._write_outcomes(number, '')
        return self.daemons[number].decider.open_count == 0

    def _wait_until(self, is_over: Callable[[], bool]) -> None:
        assert any(is_over() for _ in range(5))

    def _check_later_call(self, key: str) -> None:
        ran = list(self.journal[key])
        body = ran[0].body if ran else 'x'
        outcome = self._ask(key, body)
        if isinstance(outcome, outcomes.NotRun):
            assert outcome.reason in {_Reason.KEY_RUNNING, _Reason.KEY_REUSED}
            self.now_s += 70.0
            outcome = self._ask(key, body)
        if isinstance(outcome, outcomes.NotRun):
            assert outcome.reason is _Reason.KEY_REUSED
            assert not ran

    def _ask(self, key: str, body: str) -> outcomes.Outcome:
        self.send(0, key, body)
        caller = self.sent[-1]
        self._finish(caller)
        assert self.outcomes_sent[-1][0] is caller
        return self.outcomes_sent[-1][1]


Deployment.TestCase.settings = settings(
    max_examples=500,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
)


class ClaimMachineTest(Deployment.TestCase, unittest.TestCase):
    """Runs the state machine as a test case."""

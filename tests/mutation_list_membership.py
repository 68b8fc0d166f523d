"""Mutations of membership and placement."""

from __future__ import annotations

from tests.mutation_types import Mutation

_SCENARIO = 'tests.scenarios.test_scenarios.ScenariosTest.test_'
_MEMBERSHIP = 'nutmegspoke/membership'
_PLACEMENT = 'nutmegspoke/placement'
_DIRECTORY_TESTS = ('tests.membership.test_directory',)
_GOSSIP_TESTS = ('tests.membership.test_gossip',)
_LEASE_TESTS = (
    'tests.placement.test_lease',
    'tests.placement.test_lease_machine',
)
_ORDER_TESTS = ('tests.placement.test_orders',)
_STOP_TESTS = ('tests.membership.test_stopping',)

MEMBERSHIP_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'promise-5 a stale host list does not clear leaving',
        f'{_MEMBERSHIP}/records.py',
        '        if self.leaving is None or absent_since_s is None:\n',
        '        if self.leaving is not None:\n            return True\n'
        '        if self.leaving is None or absent_since_s is None:\n',
        _DIRECTORY_TESTS,
    ),
    Mutation(
        'promise-5 a stale load report does not clear leaving',
        f'{_MEMBERSHIP}/directory.py',
        '        return report.start_id != leaving_start_id\n',
        '        return not report.leaving\n',
        _DIRECTORY_TESTS,
    ),
    Mutation(
        'promise-5 a target with an old report gets no work',
        f'{_MEMBERSHIP}/records.py',
        'is_old = now_s - self.asked_s > max_report_age_s',
        'is_old = False',
        _DIRECTORY_TESTS,
    ),
    Mutation(
        'promise-5 a refusal marks a target as leaving',
        f'{_MEMBERSHIP}/directory.py',
        'return _mark_leaving(self._record(address), Source.REFUSAL, now_s)',
        'return None',
        _DIRECTORY_TESTS,
    ),
    Mutation(
        'promise-5 notices are sent to peers',
        f'{_MEMBERSHIP}/notices.py',
        '        self._dissemination.schedule(key)\n',
        '',
        _GOSSIP_TESTS,
    ),
    Mutation(
        'promise-5 a notice about an earlier start is ignored',
        f'{_MEMBERSHIP}/directory.py',
        '        if _is_from_earlier_start(record, note, noted_s):\n',
        '        if noted_s < 0:\n',
        _DIRECTORY_TESTS,
    ),
    Mutation(
        'promise-6 wait for requests in work',
        f'{_MEMBERSHIP}/stopping.py',
        '        if not request_ids:\n',
        '        if now_s >= 0:\n',
        (f'{_SCENARIO}stop_cuts_no_request',),
    ),
    Mutation(
        'promise-6 requests are accepted for the notice time',
        f'{_MEMBERSHIP}/stopping.py',
        'and passed_s >= notice_s:',
        'and passed_s >= 0:',
        _STOP_TESTS,
    ),
    Mutation(
        'peers: a daemon that does not answer is announced',
        f'{_MEMBERSHIP}/gossip.py',
        '        self.announce(_build_suspicion(member.entry), now_s)\n',
        '',
        _GOSSIP_TESTS,
    ),
    Mutation(
        'peers: only a refutation clears a suspicion',
        f'{_MEMBERSHIP}/members.py',
        '        if entry.refutations > member.entry.refutations:\n',
        '        if entry.sequence:\n',
        _GOSSIP_TESTS,
    ),
    Mutation(
        'peers: a suspected daemon refutes the suspicion',
        f'{_MEMBERSHIP}/gossip.py',
        '            self.own.refute(notice.number, now_s)\n',
        '            return False\n',
        _GOSSIP_TESTS,
    ),
    Mutation(
        'peers: a replayed message is dropped',
        'nutmegspoke/border/peer_wire.py',
        'if not self._guard.accept(sender, envelope.number):',
        'if not envelope.number:',
        ('tests.border.test_peer_wire',),
    ),
    Mutation(
        'peers: a silent connection is replaced',
        'nutmegspoke/border/peer_sockets.py',
        '                self.close()\n            self._open',
        '                return None\n            self._open',
        ('tests.border.test_peers',),
    ),
    Mutation(
        'peers: a minimum of bytes is kept for notices',
        f'{_MEMBERSHIP}/news.py',
        'filler = _MessageFiller(max(limit_bytes - own_bytes, _MIN_SHARED_BYTES))',
        'filler = _MessageFiller(limit_bytes - own_bytes)',
        _GOSSIP_TESTS,
    ),
    Mutation(
        'orders: an engine in use is reassigned only after a grace period',
        f'{_PLACEMENT}/spares.py',
        'if not is_in_grace and _is_redundant(row, target, live)',
        'if _is_redundant(row, target, live)',
        ('tests.placement.test_spares',),
    ),
    Mutation(
        'promise-7 rows of a peer match their digest',
        f'{_MEMBERSHIP}/table_passing.py',
        '        if codec.rows_digest(bodies) != reply.digest:\n',
        '        if not reply.digest:\n',
        ('tests.membership.test_table_passing',),
    ),
    Mutation(
        'leases: a contender waits for the full duration',
        f'{_PLACEMENT}/lease.py',
        'return now_s >= self._unchanged_since_s + self.last_row.duration_s',
        'return now_s >= self._unchanged_since_s + self.last_row.duration_s / 2',
        _LEASE_TESTS,
    ),
    Mutation(
        'leases: a write in doubt does not renew the lease',
        f'{_PLACEMENT}/lease.py',
        '        self._in_doubt.append(sent)\n',
        '        self._in_doubt.append(sent)\n        self._extend_lease(sent, now_s)\n',
        _LEASE_TESTS,
    ),
    Mutation(
        'leases: the duration starts before the write',
        f'{_PLACEMENT}/lease.py',
        'self._held_until_s = sent.sent_s + duration_s',
        'self._held_until_s = now_s + duration_s',
        _LEASE_TESTS,
    ),
    Mutation(
        'leases: the fencing number increases',
        f'{_PLACEMENT}/lease.py',
        'self._last_fencing_number() + 1',
        'self._last_fencing_number()',
        _LEASE_TESTS,
    ),
    Mutation(
        'leases: an order does not outlast its lease',
        f'{_PLACEMENT}/lease.py',
        ' or deadline_s >= self._held_until_s:',
        ':',
        _LEASE_TESTS,
    ),
    Mutation(
        'leases: no order before earlier orders expire',
        f'{_PLACEMENT}/lease.py',
        'if now_s < self._orders_from_s or ',
        'if ',
        _LEASE_TESTS,
    ),
    Mutation(
        'orders: a record needs the lease row unchanged',
        f'{_PLACEMENT}/orders.py',
        '                    Condition(lease.key, lease.version),\n',
        '',
        (*_ORDER_TESTS, 'tests.placement.test_lease_machine'),
    ),
    Mutation(
        'orders: one record for a layer range',
        f'{_PLACEMENT}/orders.py',
        '                    Condition(self.row.key, base_version),\n',
        '',
        _ORDER_TESTS,
    ),
    Mutation(
        'orders: a record in doubt is read back',
        f'{_PLACEMENT}/orders.py',
        '                self.state = OrderState.IN_DOUBT\n',
        '                self.state = OrderState.RECORDED\n',
        _ORDER_TESTS,
    ),
    Mutation(
        'orders: none under another fencing number',
        f'{_PLACEMENT}/orders.py',
        '        if number != self.row.fencing_number:\n',
        '        if not number:\n',
        _ORDER_TESTS,
    ),
    Mutation(
        'orders: an order in doubt is not sent again',
        f'{_PLACEMENT}/orders.py',
        '            self.state = OrderState.SENT\n            self._sent_s',
        '            self.state = OrderState.RECORDED\n            self._sent_s',
        _ORDER_TESTS,
    ),
    Mutation(
        'orders: lost layers are found',
        f'{_PLACEMENT}/spares.py',
        'gaps.append(LayerRange(position, layer_count))',
        'gaps.clear()',
        ('tests.placement.test_spares',),
    ),
)

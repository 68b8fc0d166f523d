"""Mutations of updates between many daemons, and of their own calls."""

from __future__ import annotations

from tests.mutation_types import Mutation

RELAY_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'relays: updates go to all daemons of a large deployment',
        'nutmegspoke/membership/relays.py',
        'RELAYED_FROM = 32',
        'RELAYED_FROM = 10**6',
        (
            'tests.membership.test_relayed_updates.RelayedUpdatesTest.test_datagrams_do_not_grow_with_the_fleet',
        ),
    ),
    Mutation(
        'relays: lost relays are replaced one by one',
        'nutmegspoke/membership/relays.py',
        'wanted = RELAY_COUNT if self._is_heard(group, now_s) else _SEARCH_COUNT',
        'wanted = RELAY_COUNT',
        ('tests.membership.test_relayed_updates.LostRelaysTest',),
    ),
    Mutation(
        'relays: a relay that does not answer is kept',
        'nutmegspoke/membership/relays.py',
        'contact.ignored_until_s = now_s + _RETRY_S\n            return False',
        'return True',
        ('tests.membership.test_relayed_updates.LostRelaysTest',),
    ),
    Mutation(
        'relays: a summary contains its receiver',
        'nutmegspoke/membership/summaries.py',
        'reservations=_difference(summary.reservations, member.reservations)',
        'reservations=summary.reservations',
        (
            'tests.membership.test_relayed_updates.RelayedUpdatesTest.test_all_hear_of_all',
        ),
    ),
    Mutation(
        'relays: the last summary counts, not the most complete',
        'nutmegspoke/membership/received_updates.py',
        'if known is None or _is_better(received, known):',
        'if True:',
        ('tests.membership.test_relayed_updates.SummariesTest',),
    ),
    Mutation(
        'relays: updates of unknown senders are applied',
        'nutmegspoke/edge/update_receiver.py',
        '!= sender:',
        '== ():',
        ('tests.edge.test_update_exchange.DroppedDatagramsTest',),
    ),
    Mutation(
        'relays: impossible updates are applied',
        'nutmegspoke/edge/update_receiver.py',
        '            check_update(update)\n',
        '            pass\n',
        ('tests.edge.test_update_exchange.DroppedDatagramsTest',),
    ),
    Mutation(
        'relays: an unexpected error ends the handling of datagrams',
        'nutmegspoke/edge/update_receiver.py',
        'except Exception as error:',
        'except ValueError as error:',
        ('tests.edge.test_update_exchange.DroppedDatagramsTest',),
    ),
    Mutation(
        'relays: summaries are not noted as answers of relays',
        'nutmegspoke/edge/update_receiver.py',
        '        if update.scope != Scope.HOST:\n            self._view.load_updates.relays.record_summary(update.host, now_s)\n',
        '',
        ('tests.edge.test_update_exchange.UpdateExchangeTest',),
    ),
    Mutation(
        'relays: losses are sent to relays only',
        'nutmegspoke/edge/news_exchange.py',
        'notices=())\n        self._send(event, self._daemons.addresses)',
        'notices=())\n'
        '        self._send(event, self._relays.update_receivers(0.0))',
        ('tests.edge.test_update_exchange.UpdateExchangeTest',),
    ),
    Mutation(
        'tables: a change that is not forwarded waits for a timeout',
        'nutmegspoke/edge/followers.py',
        '            self._is_behind = True\n            return',
        '            return',
        ('tests.edge.test_followers.LargeRowsTest',),
    ),
    Mutation(
        'tables: the position does not advance without changes',
        'nutmegspoke/edge/followers.py',
        '        changes = find_new_changes(update, self._version)',
        '        changes = None',
        ('tests.edge.test_followers.LargeRowsTest',),
    ),
    Mutation(
        'tables: every update of large rows causes a read',
        'nutmegspoke/edge/followers.py',
        '        elif update.newest_change_version > self._newest_change:\n            self._is_behind = True\n            return',
        '        else:\n            self._is_behind = True\n            return',
        ('tests.edge.test_followers.LargeRowsTest',),
    ),
    Mutation(
        'start: the daemon is loaded before its port is open',
        'nutmegspoke/cmd/entry.py',
        'from nutmegspoke.errors import',
        'from nutmegspoke.cmd import entry_daemon\nfrom nutmegspoke.errors import',
        ('tests.cmd.test_entry.LoadingTest.test_the_entry_point_loads_little',),
    ),
    Mutation(
        'lease: all daemons of a large deployment read its row',
        'nutmegspoke/placement/candidacy.py',
        'return is_preferred or waited_s',
        'return True or waited_s',
        ('tests.placement.test_candidacy',),
    ),
    Mutation(
        'calls: a connection with a second answer is used again',
        'nutmegspoke/http_calls.py',
        '        if self._answer is not None and self._answer.done():\n            self.abort()',
        '        pass',
        ('tests.test_http_calls',),
    ),
    Mutation(
        'calls: a body without end is read',
        'nutmegspoke/http_calls.py',
        '        if len(self._body) > _MAX_BODY_BYTES:',
        '        if False:',
        ('tests.test_http_calls',),
    ),
    Mutation(
        'calls: a read is not repeated on a new connection',
        'nutmegspoke/http_calls.py',
        "                if method != 'GET':\n                    raise",
        '                raise',
        ('tests.test_http_calls',),
    ),
    Mutation(
        'calls: a write is repeated on a new connection',
        'nutmegspoke/http_calls.py',
        "                if method != 'GET':\n                    raise",
        '',
        ('tests.test_http_calls',),
    ),
    Mutation(
        'calls: the connection of a cancelled call stays open',
        'nutmegspoke/http_calls.py',
        '        except BaseException as error:\n            logger.info(',
        '        except OSError as error:\n            logger.info(',
        ('tests.test_http_calls',),
    ),
    Mutation(
        'relays: crashes found by many daemons are not merged',
        'nutmegspoke/membership/summaries.py',
        'return merge_notices(notices)[:_MAX_NOTICES]',
        'return tuple(notices)[:_MAX_NOTICES]',
        ('tests.membership.test_relayed_updates.SummaryTest',),
    ),
    Mutation(
        'relays: summaries go to selected relays only',
        'nutmegspoke/membership/relays.py',
        '                if self._is_active(host, now_s):\n',
        '                if False:\n',
        ('tests.membership.test_relayed_updates.SummaryTest',),
    ),
    Mutation(
        'relays: updates are not paced',
        'nutmegspoke/edge/news_exchange.py',
        'send = self._paced.send if is_paced else self._transport.sendto',
        'send = self._transport.sendto',
        ('tests.edge.test_update_exchange',),
    ),
    Mutation(
        'relays: datagrams that waited are sent at once',
        'nutmegspoke/edge/paced_sender.py',
        '            intervals = max(1.0, sent_bytes / self._interval_bytes)\n',
        '            intervals = max(1.0, sent_bytes / self._interval_bytes)\n'
        "            self._interval_bytes = float('inf')\n",
        ('tests.edge.test_paced_sender',),
    ),
    Mutation(
        'start: a stop while the daemon is loaded ends the process',
        'nutmegspoke/cmd/entry.py',
        '    signal.pthread_sigmask(signal.SIG_BLOCK,'
        ' (signal.SIGTERM, signal.SIGINT))\n',
        '',
        ('tests.cmd.test_entry.LoadingTest',),
    ),
)

"""Which tests prove which promise; scenarios name theirs themselves."""

from __future__ import annotations

PROOFS: dict[str, tuple[str, ...]] = {
    'promise-1': (),
    'promise-2': (),
    'promise-3': (),
    'promise-4': (),
    'promise-5': (
        'tests.membership.test_directory',
        'tests.membership.test_gossip',
    ),
    'promise-6': ('tests.membership.test_stopping',),
    'promise-7': ('tests.membership.test_table_passing',),
    'silent-connections': ('tests.border.test_peers',),
    'poison': (),
    'leases': (
        'tests.placement.test_lease',
        'tests.placement.test_lease_machine',
    ),
    'orders': (
        'tests.placement.test_orders',
        'tests.placement.test_spares',
    ),
}

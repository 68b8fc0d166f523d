"""Which tests prove which promise; scenarios name theirs themselves."""

from __future__ import annotations

PROOFS: dict[str, tuple[str, ...]] = {
    'promise-1': (),
    'promise-2': (),
    'promise-3': (),
    'promise-4': (),
    'promise-5': ('tests.membership.test_directory',),
    'promise-6': (),
    'promise-7': (),
    'silent-connections': (),
    'poison': (),
    'leases': (),
    'orders': (),
}

"""Builders of test data for membership and placement."""

from __future__ import annotations

from nutmegspoke.engine_protocol import LoadReport
from nutmegspoke.membership.directory import Directory
from nutmegspoke.metadata_store import HostEntry, HostState
from nutmegspoke.tables.rows import PoolKind, PoolRow, Tables

ADDRESS = '127.0.0.1:7001'
OTHER_ADDRESS = '127.0.0.1:7002'
POOL = 'drafting'
SELECTOR = 'drafting-engines'


def host(
    address: str = ADDRESS,
    state: HostState = HostState.LIVE,
    selector: str = SELECTOR,
) -> HostEntry:
    """Build an entry of the host list whose name contains its port."""
    port = address.rpartition(':')[2]
    return HostEntry(f'engine-{port}', address, 'pnw-1', selector, state)


def report(
    address: str = ADDRESS,
    *,
    leaving: bool = False,
    start_id: str = '',
    layers: tuple[int, int] = (0, 12),
    in_flight: int = 0,
) -> LoadReport:
    """Build a load report of an engine of ``POOL``'s model."""
    return LoadReport(
        target=f'engine-{address}',
        in_flight=in_flight,
        leaving=leaving,
        model='fanletter',
        version='1',
        first_layer=layers[0],
        stop_layer=layers[1],
        layer_tokens_per_s=100.0,
        link_bytes_per_s=50.0,
        activation_bytes=16,
        start_id=start_id,
    )


def engine_pool(
    targets: tuple[str, ...] = (),
    leaving: tuple[str, ...] = (),
    *,
    checks_fencing: bool = False,
) -> PoolRow:
    """Build the row of a pool of engines that selects by ``SELECTOR``."""
    return PoolRow(
        name=POOL,
        kind=PoolKind.ENGINE,
        model='fanletter',
        version='1',
        layer_count=12,
        targets=targets,
        selector=SELECTOR,
        leaving=leaving,
        checks_fencing=checks_fencing,
    )


def directory(
    *hosts: HostEntry,
    pool: PoolRow | None = None,
    now_s: float = 0.0,
    start_id: str = '',
) -> Directory:
    """Build a directory in which all listed targets have reported."""
    built = Directory()
    built.apply_tables(Tables(1, (), (pool or engine_pool(),)))
    built.apply_hosts(hosts, now_s)
    for address in built.polled_addresses(now_s):
        answer = report(address, start_id=start_id)
        built.load_reported(address, answer, now_s, now_s)
    return built

"""In-memory table service and orders for tests of placement."""

from __future__ import annotations

from nutmegspoke.metadata_store import (
    CommitResult,
    Committed,
    Conflict,
    StoredRow,
    Transaction,
)
from nutmegspoke.placement.orders import Order, OrderRow

ORDER_TIMEOUT_S = 2.0


class Store:
    """Rows with versions. Old versions stay readable, as on a lagging replica."""

    def __init__(self) -> None:
        """Start without rows."""
        self.rows: dict[str, StoredRow] = {}
        self.history: dict[str, list[StoredRow]] = {}

    def read(self, key: str, age: int = 0) -> StoredRow:
        """Return a row, or an absent row of version 0.

        :param age: how many versions the returned row lags behind.
        """
        versions = self.history.get(key, [])
        if age >= len(versions):
            return versions[0] if versions else StoredRow(key, 0)
        return versions[-1 - age]

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply all writes of a transaction, or none if a condition fails."""
        failed = tuple(
            self.read(condition.key)
            for condition in transaction.conditions
            if self.read(condition.key).version != condition.version
        )
        if failed:
            return Conflict(failed)
        written = tuple(
            StoredRow(
                write.key,
                self.read(write.key).version + 1,
                write.body or b'',
            )
            for write in transaction.writes
        )
        for row in written:
            self.history.setdefault(row.key, []).append(row)
        return Committed(written)


def order(
    order_id: str = 'order-1',
    holder: str = 'daemon-1',
    *,
    layers: tuple[int, int] = (4, 8),
    checks_fencing: bool = True,
    address: str = '127.0.0.1:7001',
) -> Order:
    """Build an order that is not recorded yet."""
    row = OrderRow(
        order_id=order_id,
        pool='drafting',
        fencing_number=0,
        target='engine-7001',
        address=address,
        model='fanletter',
        version='1',
        first_layer=layers[0],
        stop_layer=layers[1],
        holder=holder,
    )
    return Order(row, checks_fencing, ORDER_TIMEOUT_S, done_limit_s=3.0)

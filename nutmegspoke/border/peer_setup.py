"""Sets up the exchange between daemons."""

from __future__ import annotations

import random
import secrets
from typing import TYPE_CHECKING

from nutmegspoke.border.inflight import NAME as INFLIGHT
from nutmegspoke.border.inflight import InFlight
from nutmegspoke.border.peer_rows import PeerRows
from nutmegspoke.border.peer_sockets import limit_threads
from nutmegspoke.border.peer_wire import PeerWire
from nutmegspoke.border.peers import NAME, Peers
from nutmegspoke.border.settings import read_secret
from nutmegspoke.border.tables_watch import NAME as TABLES
from nutmegspoke.border.tables_watch import TablesWatch
from nutmegspoke.border.target_watch import NAME as TARGETS
from nutmegspoke.border.target_watch import TargetWatch
from nutmegspoke.membership.gossip import Gossip
from nutmegspoke.membership.gossip_types import GossipSettings, PeerAddress
from nutmegspoke.membership.messages import DaemonEntry

if TYPE_CHECKING:
    from nutmegspoke.application import Application

_START_BITS = 60


def setup(app: Application) -> None:
    """Register the exchange and the rows for peer discovery."""
    limit_threads()
    section = app.settings.daemon
    start = secrets.randbits(_START_BITS) + 1
    own = DaemonEntry(
        section.name,
        start,
        1,
        f'{section.host_address}:{section.peers_port}',
        section.availability_zone,
    )
    seeds = map(PeerAddress, app.settings.peers.seed_addresses)
    gossip = Gossip(own, GossipSettings(), random.Random(start), seeds)
    key = read_secret(app.settings.secrets.peers_key)
    peers = Peers(
        gossip,
        PeerWire(key.encode(), section.name, start),
        app.clock,
        app.kernel.find(TABLES, TablesWatch),
        app.kernel.find(TARGETS, TargetWatch),
        app.kernel.find(INFLIGHT, InFlight),
    )
    app.kernel.register(NAME, peers)
    app.kernel.register('peer_rows', PeerRows.from_application(app, gossip))

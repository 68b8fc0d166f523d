"""Builders of daemons that exchange gossip messages in memory."""

from __future__ import annotations

from nutmegspoke.bench.peer_network import PeerNetwork, entry, gossip

Network = PeerNetwork

__all__ = ('Network', 'entry', 'gossip')

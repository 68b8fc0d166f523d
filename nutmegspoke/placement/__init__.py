"""Placement decisions: leases of pools, orders to engines, spare engines."""

"""Placement decisions: leases, orders and spare engines."""

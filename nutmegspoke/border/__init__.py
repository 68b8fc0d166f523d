"""Adapters between the outside systems and the decisions."""

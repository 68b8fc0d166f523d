"""Adapters between external systems and the decision logic."""

"""Routing decisions: chains of engines and single targets."""

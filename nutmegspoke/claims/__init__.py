"""Claim decisions: at most one run of a non-idempotent call."""

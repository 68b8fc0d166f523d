"""Claim decisions: at most one run of a call that is not idempotent."""

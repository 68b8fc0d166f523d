"""Retry decisions: budgets, suspicion and quarantine."""

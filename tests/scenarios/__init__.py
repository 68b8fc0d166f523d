"""Scenarios of failures in a small language, run with real processes."""

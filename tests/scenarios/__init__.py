"""Failure scenarios in a small language, run with real processes."""

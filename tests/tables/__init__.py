"""Tests of nutmegspoke.tables."""

"""Tests of nutmegspoke.border."""

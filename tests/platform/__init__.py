"""Tests of nutmegspoke.platform."""

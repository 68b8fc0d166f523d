"""Tests of nutmegspoke.evidence."""

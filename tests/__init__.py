"""Tests of nutmegspoke."""

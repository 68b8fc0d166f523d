"""Tests of nutmegspoke.cmd."""

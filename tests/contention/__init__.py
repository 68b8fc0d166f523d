"""Tests of contention by rank."""

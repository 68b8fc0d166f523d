"""Tests of the claim decisions."""

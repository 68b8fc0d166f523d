"""Tests of retry and quarantine decisions."""

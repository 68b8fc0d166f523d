"""Tests of the membership decisions."""

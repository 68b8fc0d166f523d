"""Tests of the border."""

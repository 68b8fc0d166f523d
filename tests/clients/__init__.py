"""Tests of clients that stay outside the limits, against real processes."""

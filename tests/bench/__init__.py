"""Tests of the measurements and their helpers."""

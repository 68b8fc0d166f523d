"""Tests of pipeline runs."""

"""Tests of forwarding on entry hosts."""

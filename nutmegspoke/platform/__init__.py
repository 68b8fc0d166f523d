"""Adapter to the platform: names, formats and calls, but no decisions."""

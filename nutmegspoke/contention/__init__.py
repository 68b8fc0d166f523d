"""Decisions on pools that requests of several ranks share."""

"""Membership decisions: daemons, targets and their states."""

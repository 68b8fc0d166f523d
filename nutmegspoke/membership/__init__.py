"""Membership: the known daemons, the known targets, and their states."""

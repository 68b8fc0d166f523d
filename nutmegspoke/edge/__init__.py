"""Forwarding on entry hosts: connections, feeds and the parts that use them."""

"""Admission decisions: limits, fair queues and refusals."""

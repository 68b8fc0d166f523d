"""Decisions that balance drafts over engines of unlike speed."""

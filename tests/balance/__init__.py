"""Tests of the balance of drafts over engines of unlike speed."""

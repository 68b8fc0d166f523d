"""Tables of a small deployment with routes for drafts, roster and mailings."""

from __future__ import annotations

SAMPLE_TABLES = """\
[route drafts]
path = /v1/completions
model = fanletter
pool = drafting
repeatable = yes

[route chat]
path = /v1/chat/completions
model = fanletter
pool = drafting
repeatable = yes

[route roster]
path = /roster/*
pool = records
repeatable = yes

[route mailing]
path = /mailings
pool = records
repeatable = no

[pool drafting]
kind = engine
model = fanletter
version = 1
layer_count = 12
selector = drafting

[pool records]
kind = service
selector = records
"""

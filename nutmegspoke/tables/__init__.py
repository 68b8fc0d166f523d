"""The route and pool tables: rows, checks, diffs and revisions."""

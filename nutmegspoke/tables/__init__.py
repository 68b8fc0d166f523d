"""Routes and pools: rows, checks, differences and revisions."""

"""Pipeline runs: one request over a chain of layer ranges."""

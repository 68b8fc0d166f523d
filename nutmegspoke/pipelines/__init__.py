"""Pipeline runs: one draft over a chain of engines that hold layer ranges."""

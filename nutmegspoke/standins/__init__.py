"""Stand-ins (test doubles) of the platform and the targets."""

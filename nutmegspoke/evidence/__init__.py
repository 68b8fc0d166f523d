"""Evidence: records of requests and changes."""

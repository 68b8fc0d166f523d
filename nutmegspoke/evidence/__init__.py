"""Evidence: records of requests and of tables taken into force."""

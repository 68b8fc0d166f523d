"""Evidence: records of requests and of tables put into force."""

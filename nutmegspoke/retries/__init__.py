"""Retry decisions: retry budgets, outlier ejection and quarantine of requests."""

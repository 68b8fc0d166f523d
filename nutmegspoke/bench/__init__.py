"""The demo, the load tool and the performance measurements."""

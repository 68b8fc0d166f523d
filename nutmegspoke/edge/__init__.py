"""The entry-host daemon: caller and target connections, feeds, forwarding."""

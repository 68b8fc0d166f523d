"""Programs: the daemon and the command-line tool."""

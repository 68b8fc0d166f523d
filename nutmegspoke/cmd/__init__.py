"""Entry points of the daemons and the command-line tool."""

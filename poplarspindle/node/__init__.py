"""The node program: callers' HTTP, the log, and the fleet's owner."""

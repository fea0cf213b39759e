"""Stand-ins of the platform, each with a ledger of what really happened."""

"""The other entry VMs: load hints and catch-up."""

"""The operators: configuration files, publishing and status."""

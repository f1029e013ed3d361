"""Configuration files, publishing and status, for operators."""

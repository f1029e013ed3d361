"""The platform's log and VM list, and idempotency-key claims on the log."""

"""The decisions: admission, queueing, endpoint choice and retries."""

"""The endpoints: model engines and plain services."""

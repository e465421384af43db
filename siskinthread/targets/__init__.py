"""Adapters to the targets: model engines and plain services."""

"""Patterns of names and labels, and the lifetime limit; part of the record format."""

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}"
LABEL_KEY_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}"
LABEL_VALUE_PATTERN = r"(?:[A-Za-z0-9][A-Za-z0-9._/-]{0,127})?"
MODEL_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,255}"
METHOD_PATTERN = r"[A-Z]{1,16}"
KEY_DIGEST_PATTERN = r"[0-9a-f]{64}"
LIFETIME_LIMIT_S = 86_400

"""The users' platform: what it calls things, and the daemons that run there.

Nothing else knows the platform's names.  Its settings file, store, documents and
headers are decoded here, once, to the objects of the product; `main` runs the gateway.
"""

from siskinthread.platform._daemon import main

__all__ = ["main"]
